"""Which lost requests are reported as lost through an exit of their backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.identity import InstanceId
from hoisthook.identity import RequestId
from hoisthook.identity import WorkId
from hoisthook.local_backend.exit_detector import MAX_PENDING
from hoisthook.local_backend.exit_detector import PENDING_SECONDS
from hoisthook.local_backend.exit_detector import ExitDetector
from hoisthook.local_backend.exit_detector import LostRequest
from hoisthook.mesh.announcement import Announcement
from standin.mesh_backend import MeshBackendStandin
from standin.mesh_system import ListLog
from tests.observed_backends import make_observed_backend

if TYPE_CHECKING:
    from tests.fakes import FakeClock

FIRST, SECOND = InstanceId("i-1"), InstanceId("i-2")


class WatchedBackend:
    """A running backend server that is watched by an exit detector."""

    def __init__(self, clock: FakeClock, backend: MeshBackendStandin) -> None:
        self.clock = clock
        self.observed_backend = make_observed_backend()
        self.announce(sequence=1)
        self.exit_detector = ExitDetector(
            lambda: backend.address,
            ClientPool(),
            lambda: self.observed_backend.takes_work,
            clock,
            ListLog(),
        )
        self.reported: list[LostRequest] = []
        self.exit_detector.on_exit(self.reported.extend)

    def announce(self, *, sequence: int, draining: bool = False) -> None:
        self.observed_backend.announced(
            Announcement(FIRST, sequence, draining, slots=4, cold_seconds=0.0)
        )

    def lose(self) -> LostRequest:
        lost = LostRequest(RequestId("q"), WorkId("w"), FIRST, self.clock.now())
        self.exit_detector.request_lost(lost)
        return lost


@pytest.fixture
async def watched(clock: FakeClock) -> WatchedBackend:
    backend = MeshBackendStandin("shop", "i-1")
    await backend.start()
    return WatchedBackend(clock, backend)


async def test_replacement_by_another_incarnation_is_an_exit(watched: WatchedBackend) -> None:
    lost = watched.lose()
    watched.exit_detector.replaced()
    assert watched.reported == [lost]


async def test_answer_to_a_later_request_rules_out_an_exit(watched: WatchedBackend) -> None:
    watched.lose()
    watched.clock.advance(0.1)
    watched.exit_detector.answered(FIRST, watched.clock.now())
    watched.exit_detector.replaced()
    assert watched.reported == []


async def test_answer_in_transit_does_not_rule_out_an_exit(watched: WatchedBackend) -> None:
    sent_at = watched.clock.now()
    watched.clock.advance(0.1)
    lost = watched.lose()
    watched.exit_detector.answered(FIRST, sent_at)
    watched.exit_detector.answered(SECOND, watched.clock.now() + 1.0)
    watched.exit_detector.replaced()
    assert watched.reported == [lost]


async def test_exit_after_a_drain_reports_no_lost_requests(watched: WatchedBackend) -> None:
    watched.announce(sequence=2, draining=True)
    watched.lose()
    watched.exit_detector.replaced()
    assert watched.reported == []


async def test_request_lost_long_before_the_exit_is_not_reported(watched: WatchedBackend) -> None:
    watched.lose()
    watched.clock.advance(PENDING_SECONDS + 1.0)
    watched.exit_detector.replaced()
    assert watched.reported == []


async def test_expired_losses_leave_capacity_for_new_ones(watched: WatchedBackend) -> None:
    for _ in range(MAX_PENDING):
        watched.lose()
    watched.clock.advance(PENDING_SECONDS + 1.0)
    lost = watched.lose()
    watched.exit_detector.replaced()
    assert watched.reported == [lost]
