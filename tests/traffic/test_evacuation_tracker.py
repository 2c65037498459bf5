"""An evacuation in force does not fall back with a store that has lost its last seconds."""

from __future__ import annotations

from hoisthook.membership.store_era import StoreEra
from hoisthook.membership.store_era import revision_at
from hoisthook.port.record_store import KeyedRecord
from hoisthook.traffic.evacuation_tracker import REWRITE_GRACE_SECONDS
from hoisthook.traffic.evacuation_tracker import EvacuationTracker
from standin.mesh_system import ListLog

ASKED = b"{}"


def record(data_centre: str, offset: int, value: bytes = ASKED) -> KeyedRecord:
    return KeyedRecord(f"evacuate/{data_centre}", value, offset)


def test_what_is_listed_and_changed_holds() -> None:
    reading = EvacuationTracker("evacuate/")
    reading.apply_listing([record("one", 3), KeyedRecord("config", b"{}", 4)], 0.0)
    assert reading.data_centres == {"one"}
    reading.apply_changes([record("two", 5), record("one", 6, b"")])
    assert reading.data_centres == {"two"}
    reading.apply_listing([], 1.0)
    assert reading.data_centres == set()


def test_lost_evacuation_stays_until_it_is_written_again() -> None:
    reading = EvacuationTracker("evacuate/")
    reading.apply_listing([record("one", 3)], 0.0)
    reading.store_regressed(10.0)
    reading.apply_listing([], 10.1)
    assert reading.data_centres == {"one"}
    reading.apply_changes([record("one", 2)])
    reading.apply_listing([record("one", 2)], 10.0 + REWRITE_GRACE_SECONDS)
    assert reading.data_centres == {"one"}


def test_lost_restoration_is_not_undone() -> None:
    reading = EvacuationTracker("evacuate/")
    reading.apply_listing([record("one", 3)], 0.0)
    reading.apply_changes([record("one", 7, b"")])
    reading.store_regressed(10.0)
    reading.apply_listing([record("one", 3)], 10.1)
    assert reading.data_centres == set()


def test_new_evacuation_is_in_force_at_once_also_in_doubt() -> None:
    reading = EvacuationTracker("evacuate/")
    reading.apply_listing([record("one", 3)], 0.0)
    reading.apply_changes([record("one", 7, b"")])
    reading.store_regressed(10.0)
    reading.apply_listing([record("one", 5), record("two", 6)], 10.1)
    assert reading.data_centres == {"one", "two"}


def test_restoration_after_the_return_holds_at_once_and_the_list_after_the_doubt() -> None:
    reading = EvacuationTracker("evacuate/")
    reading.apply_listing([record("one", 3), record("two", 4)], 0.0)
    reading.store_regressed(10.0)
    reading.apply_listing([record("one", 3)], 10.1)
    reading.apply_changes([record("one", 4, b"")])
    assert reading.data_centres == {"two"}
    reading.apply_listing([], 10.0 + REWRITE_GRACE_SECONDS)
    assert reading.data_centres == set()


def test_a_later_history_goes_before_any_offset_of_an_earlier_one() -> None:
    assert revision_at(2, 0) > revision_at(1, 10**12) > revision_at(1, 5) > -1


def test_only_a_later_era_is_a_change() -> None:
    log = ListLog()
    era = StoreEra(log)
    changes: list[int | None] = []
    era.on_change(lambda: changes.append(era.current))
    for heard in (None, 3, 3, 2, 4, None, 5, 4):
        era.heard(heard)
    assert changes == [4, 5]
    assert era.current == 5
    assert len(log.named("store_came_back_older")) == 2
