"""Of two views of the evacuated data centres the one with the higher revision wins."""

from __future__ import annotations

from hoisthook.identity import DataCentre
from hoisthook.traffic.configuration_holder import ConfigurationSource
from hoisthook.traffic.evacuations import Evacuations
from standin.mesh_system import ListLog

EAST = DataCentre("east")
STORE = ConfigurationSource.STORE
PEER = ConfigurationSource.PEER


def test_view_between_two_equal_ones_is_not_accepted_after_the_later() -> None:
    """Guards against requests to a data centre that was evacuated, restored and evacuated."""
    evacuations = Evacuations(ListLog())
    assert evacuations.offer(5, [EAST], STORE)
    assert not evacuations.offer(9, [EAST], STORE)
    assert not evacuations.offer(7, [], PEER)
    assert EAST in evacuations
    assert evacuations.revision == 9


def test_listeners_are_called_for_the_first_view_and_for_changes() -> None:
    evacuations = Evacuations(ListLog())
    calls: list[int] = []
    evacuations.on_change(lambda: calls.append(evacuations.revision))
    for revision, data_centres in [(0, []), (1, []), (2, [EAST]), (3, [EAST]), (4, [])]:
        evacuations.offer(revision, data_centres, STORE)
    assert calls == [0, 2, 4]
