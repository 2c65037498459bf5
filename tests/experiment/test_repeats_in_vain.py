"""A service that turns away half of its work and whose budget of repeats is spent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.experiment import modelled_hop
from hoisthook.experiment.load_pattern import Disruption
from hoisthook.experiment.load_pattern import DisruptionKind
from hoisthook.experiment.modelled_system import ModelledSystem
from hoisthook.routing import admission_rate
from tests.experiment.test_retry_budget import DESK
from tests.experiment.test_retry_budget import pattern

if TYPE_CHECKING:
    import pytest

    from hoisthook.experiment.load_pattern import LoadResults
    from hoisthook.experiment.modelled_hop import ModelledHop
    from hoisthook.mesh.hop_header import Admission
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.outcome import PendingOutcome
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.routed_call import RoutedCall

SEEDS = (1, 2)


def test_repeats_ask_few_nodes_where_hardly_any_has_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that ask all nodes in turn for what none has left."""
    asked: list[RoutedCall] = []
    run = modelled_hop.ModelledHop.run

    async def count(
        hop: ModelledHop, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        if call.arrival.is_repeat:
            asked.append(call)
        return await run(hop, view, call, admission)

    monkeypatch.setattr(modelled_hop.ModelledHop, "run", count)
    load = pattern(Disruption(DisruptionKind.SHEDS, 2.0, 12.0, strength=0.55, service=DESK))

    def play() -> tuple[list[LoadResults], int]:
        asked.clear()
        return [ModelledSystem(load, seed).play() for seed in SEEDS], len(asked)

    few, few_asked = play()
    monkeypatch.setattr(admission_rate, "MIN_SHARE", 0.0)
    all_nodes, all_asked = play()
    assert few_asked < 0.75 * all_asked
    assert sum(t.share for t in few) > sum(t.share for t in all_nodes) - 0.02
