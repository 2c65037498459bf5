"""Which lost requests count as lost with their backend server."""

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
from hoisthook.mesh.observed_backend import Announcement
from hoisthook.mesh.observed_backend import ObservedBackend
from standin.mesh_backend import MeshBackendStandin
from standin.mesh_system import ListLog

if TYPE_CHECKING:
    from tests.fakes import FakeClock

FIRST, SECOND = InstanceId("i-1"), InstanceId("i-2")


class Watched:
    """A watch beside a backend server that is there and takes connections."""

    def __init__(self, clock: FakeClock, backend: MeshBackendStandin) -> None:
        self.clock = clock
        self.observed_backend = ObservedBackend(ListLog())
        self.announce(sequence=1)
        self.exit_detector = ExitDetector(
            lambda: backend.address,
            ClientPool(),
            lambda: self.observed_backend.takes_work,
            clock,
            ListLog(),
        )
        self.ended: list[LostRequest] = []
        self.exit_detector.on_ended(self.ended.extend)

    def announce(self, *, sequence: int, draining: bool = False) -> None:
        self.observed_backend.announced(
            Announcement(FIRST, sequence, draining, slots=4, cold_seconds=0.0)
        )

    def lose(self) -> LostRequest:
        lost = LostRequest(RequestId("q"), WorkId("w"), FIRST, self.clock.now())
        self.exit_detector.broken(lost)
        return lost


@pytest.fixture
async def watched(clock: FakeClock) -> Watched:
    backend = MeshBackendStandin("shop", "i-1")
    await backend.start()
    return Watched(clock, backend)


async def test_another_incarnation_proves_the_end(watched: Watched) -> None:
    lost = watched.lose()
    watched.exit_detector.replaced()
    assert watched.ended == [lost]


async def test_answer_to_what_was_sent_later_disproves_it(watched: Watched) -> None:
    watched.lose()
    watched.clock.advance(0.1)
    watched.exit_detector.answered(FIRST, watched.clock.now())
    watched.exit_detector.replaced()
    assert watched.ended == []


async def test_answer_that_was_on_its_way_disproves_nothing(watched: Watched) -> None:
    sent_at = watched.clock.now()
    watched.clock.advance(0.1)
    lost = watched.lose()
    watched.exit_detector.answered(FIRST, sent_at)
    watched.exit_detector.answered(SECOND, watched.clock.now() + 1.0)
    watched.exit_detector.replaced()
    assert watched.ended == [lost]


async def test_planned_end_is_held_against_nothing(watched: Watched) -> None:
    watched.announce(sequence=2, draining=True)
    watched.lose()
    watched.exit_detector.replaced()
    assert watched.ended == []


async def test_loss_long_before_the_end_has_nothing_to_do_with_it(watched: Watched) -> None:
    watched.lose()
    watched.clock.advance(PENDING_SECONDS + 1.0)
    watched.exit_detector.replaced()
    assert watched.ended == []


async def test_losses_that_came_to_nothing_make_no_end_go_unseen(watched: Watched) -> None:
    for _ in range(MAX_PENDING):
        watched.lose()
    watched.clock.advance(PENDING_SECONDS + 1.0)
    lost = watched.lose()
    watched.exit_detector.replaced()
    assert watched.ended == [lost]
