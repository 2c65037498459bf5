"""Evacuations stay in force when the store regresses and has lost its latest records."""

from __future__ import annotations

from hoisthook.identity import DataCentre
from hoisthook.membership.store_era import StoreEra
from hoisthook.membership.store_era import provisional_revision_at
from hoisthook.membership.store_era import revision_at
from hoisthook.port.record_store import KeyedRecord
from hoisthook.traffic.evacuation_tracker import REWRITE_GRACE_SECONDS
from hoisthook.traffic.evacuation_tracker import EvacuationTracker
from standin.mesh_system import ListLog

REQUEST = b"{}"


def record(data_centre: str, offset: int, value: bytes = REQUEST) -> KeyedRecord:
    return KeyedRecord(f"evacuate/{data_centre}", value, offset)


def test_what_is_listed_and_changed_holds() -> None:
    tracker = EvacuationTracker("evacuate/")
    tracker.apply_listing([record("one", 3), KeyedRecord("config", b"{}", 4)], 0.0)
    assert tracker.data_centres == {"one"}
    tracker.apply_changes([record("two", 5), record("one", 6, b"")])
    assert tracker.data_centres == {"two"}
    tracker.apply_listing([], 1.0)
    assert tracker.data_centres == set()


def test_lost_evacuation_stays_until_it_is_written_again() -> None:
    tracker = EvacuationTracker("evacuate/")
    tracker.apply_listing([record("one", 3)], 0.0)
    tracker.store_regressed(10.0)
    tracker.apply_listing([], 10.1)
    assert tracker.data_centres == {"one"}
    tracker.apply_changes([record("one", 2)])
    tracker.apply_listing([record("one", 2)], 10.0 + REWRITE_GRACE_SECONDS)
    assert tracker.data_centres == {"one"}


def test_lost_restoration_is_not_undone() -> None:
    tracker = EvacuationTracker("evacuate/")
    tracker.apply_listing([record("one", 3)], 0.0)
    tracker.apply_changes([record("one", 7, b"")])
    tracker.store_regressed(10.0)
    tracker.apply_listing([record("one", 3)], 10.1)
    assert tracker.data_centres == set()


def test_new_evacuation_is_in_force_at_once_also_while_listings_are_provisional() -> None:
    tracker = EvacuationTracker("evacuate/")
    tracker.apply_listing([record("one", 3)], 0.0)
    tracker.apply_changes([record("one", 7, b"")])
    tracker.store_regressed(10.0)
    tracker.apply_listing([record("one", 5), record("two", 6)], 10.1)
    assert tracker.data_centres == {"one", "two"}


def test_end_of_an_evacuation_holds_at_once_and_the_listing_after_the_grace_period() -> None:
    tracker = EvacuationTracker("evacuate/")
    tracker.apply_listing([record("one", 3), record("two", 4)], 0.0)
    tracker.store_regressed(10.0)
    tracker.apply_listing([record("one", 3)], 10.1)
    tracker.apply_changes([record("one", 4, b"")])
    assert tracker.data_centres == {"two"}
    tracker.apply_listing([], 10.0 + REWRITE_GRACE_SECONDS)
    assert tracker.data_centres == set()


def test_provisional_listing_keeps_what_peers_have_told() -> None:
    tracker = EvacuationTracker("evacuate/")
    tracker.store_regressed(10.0)
    tracker.resume_from({DataCentre("one")})
    tracker.apply_listing([], 10.1)
    assert tracker.data_centres == {"one"}
    tracker.resume_from({DataCentre("one")})
    tracker.apply_listing([], 10.0 + REWRITE_GRACE_SECONDS)
    assert tracker.data_centres == set()


def test_grace_period_that_a_peer_tells_of_ends_with_the_peers() -> None:
    tracker = EvacuationTracker("evacuate/")
    assert not tracker.has_begun
    tracker.store_regressed(10.0, 2.0)
    assert tracker.has_begun
    assert tracker.is_provisional(11.9)
    assert not tracker.is_provisional(12.0)


def test_only_a_listing_after_the_grace_period_settles_the_view() -> None:
    tracker = EvacuationTracker("evacuate/")
    tracker.apply_listing([record("one", 3)], 0.0)
    assert not tracker.needs_listing
    tracker.store_regressed(10.0)
    tracker.apply_listing([record("one", 3)], 10.1)
    tracker.apply_changes([record("one", 4, b"")])
    assert tracker.needs_listing
    tracker.apply_listing([], 10.0 + REWRITE_GRACE_SECONDS)
    assert not tracker.needs_listing


def test_complete_view_goes_before_a_provisional_one_of_the_same_position() -> None:
    in_order = [
        revision_at(1, 10**12),
        provisional_revision_at(2, 0),
        revision_at(2, 0),
        provisional_revision_at(2, 2),
        revision_at(2, 2),
    ]
    assert in_order == sorted(set(in_order))


def test_a_later_history_goes_before_any_offset_of_an_earlier_one() -> None:
    assert revision_at(2, 0) > revision_at(1, 10**12) > revision_at(1, 5) > -1


def test_only_a_later_era_is_a_change() -> None:
    log = ListLog()
    era = StoreEra(log)
    changes: list[int | None] = []
    era.on_change(lambda: changes.append(era.current))
    for heard in (None, 3, 3, 2, 4, None, 5, 4):
        era.update(heard)
    assert changes == [4, 5]
    assert era.current == 5
    assert len(log.named("store_came_back_older")) == 2
