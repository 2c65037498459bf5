from __future__ import annotations

import asyncio

import pytest

from hoisthook.admission.admission_policy import AdmissionPolicy
from hoisthook.admission.admission_policy import Verdict
from hoisthook.admission.demand import Demand
from hoisthook.admission.priority_gate import PriorityGate
from hoisthook.admission.priority_gate import Slot
from hoisthook.admission.server_speed import ServerSpeed
from tests.fakes import FakeClock

WORK = 0.2
TARGET = 0.6
DEADLINE = 2.0


class Beside:
    """What admission consists of, without a backend server."""

    def __init__(self, limit: int = 2) -> None:
        self.clock = FakeClock(1000.0)
        self.speed = ServerSpeed()
        self.report(1.0)
        self.gate = PriorityGate(limit, self.speed, self.clock)
        self.policy = AdmissionPolicy(self.gate, self.speed, self.clock)

    def report(self, slowdown: float) -> None:
        self.speed.moments.reported(slowdown, self.clock.now())

    def demand(self, target: float = TARGET, work: float = WORK, spread: float = 0.0) -> Demand:
        now = self.clock.now()
        return Demand(1, now + target, now + DEADLINE, work, spread)

    async def fill(self, work: float = WORK) -> list[Slot]:
        slots = []
        while self.gate.has_room:
            slot = await self.gate.enter(self.demand(work=work))
            assert slot is not None
            slots.append(slot)
        return slots


@pytest.fixture
def beside() -> Beside:
    return Beside()


def test_report_is_renewed_once_it_may_well_be_wrong(beside: Beside) -> None:
    assert not beside.policy.is_read_worthwhile(beside.demand())
    beside.clock.advance(0.05)
    assert beside.policy.is_read_worthwhile(beside.demand())


def test_report_is_not_renewed_for_what_a_slow_moment_does_not_make_late(beside: Beside) -> None:
    beside.clock.advance(0.05)
    assert not beside.policy.is_read_worthwhile(beside.demand(work=0.01))


async def test_report_is_not_renewed_where_no_slot_is_free(beside: Beside) -> None:
    await beside.fill()
    beside.clock.advance(0.05)
    assert not beside.policy.is_read_worthwhile(beside.demand())


def test_slow_moment_sends_a_request_elsewhere_unless_it_is_in_time_all_the_same(
    beside: Beside,
) -> None:
    beside.report(5.0)
    assert beside.policy.start_now(beside.demand()).verdict is Verdict.SLOW
    assert beside.policy.start_now(beside.demand(work=0.05)).verdict is Verdict.ADMIT


async def test_server_whose_work_is_long_overdue_is_passed_over(beside: Beside) -> None:
    gate = PriorityGate(8, beside.speed, beside.clock)
    policy = AdmissionPolicy(gate, beside.speed, beside.clock)
    for _ in range(3):
        assert await gate.enter(beside.demand()) is not None
    beside.clock.advance(0.3)
    assert policy.start_now(beside.demand()).verdict is Verdict.ADMIT
    beside.clock.advance(0.2)
    assert policy.start_now(beside.demand()).verdict is Verdict.SLOW


async def test_request_waits_if_it_will_start_in_time_and_is_refused_at_once_if_not(
    beside: Beside,
) -> None:
    await beside.fill()
    assert beside.policy.may_wait(beside.demand(target=0.5)).verdict is Verdict.ADMIT
    waiting = [
        asyncio.create_task(beside.gate.enter(beside.demand(), beside.clock.now() + 5.0))
        for _ in range(6)
    ]
    await asyncio.sleep(0)
    ruling = beside.policy.may_wait(beside.demand())
    assert ruling.verdict is Verdict.FULL
    assert ruling.retry_after > TARGET - WORK
    beside.gate.refuse_waiting()
    await asyncio.gather(*waiting)


async def test_wait_leaves_room_for_the_spread_of_the_work(beside: Beside) -> None:
    now = beside.clock.now()
    assert beside.policy.waits_until(beside.demand()) == pytest.approx(now + 0.4)
    spread = beside.policy.waits_until(beside.demand(spread=0.1))
    assert spread == pytest.approx(now + 0.3)


async def test_call_whose_target_is_over_still_waits_for_a_slot(beside: Beside) -> None:
    await beside.fill()
    assert beside.policy.may_wait(beside.demand(target=0.01, work=0.02)).verdict is Verdict.ADMIT


async def test_late_request_leaves_its_place_while_others_that_could_be_in_time_are_turned_away(
    beside: Beside,
) -> None:
    slots = await beside.fill()
    late = beside.demand(target=0.05)
    waiting = asyncio.create_task(beside.gate.enter(late, beside.clock.now() + 5.0))
    await asyncio.sleep(0)
    assert beside.policy.start_now(beside.demand()).verdict is Verdict.FULL
    beside.gate.leave(slots.pop())
    await asyncio.sleep(0)
    assert not waiting.done()
    beside.clock.advance(1.0)
    beside.gate.admit()
    assert await waiting is not None


async def test_light_late_request_does_not_yield(beside: Beside) -> None:
    slots = await beside.fill()
    call = beside.demand(target=0.01, work=0.02)
    waiting = asyncio.create_task(beside.gate.enter(call, beside.clock.now() + 5.0))
    await asyncio.sleep(0)
    assert beside.policy.start_now(beside.demand()).verdict is Verdict.FULL
    beside.gate.leave(slots.pop())
    assert await waiting is not None


async def test_nothing_late_starts_in_a_short_slow_moment_and_all_does_after_it(
    beside: Beside,
) -> None:
    beside.report(5.0)
    waiting = asyncio.create_task(beside.gate.enter(beside.demand(), beside.clock.now() + 5.0))
    await asyncio.sleep(0)
    beside.gate.admit()
    assert beside.gate.is_holding
    beside.clock.advance(0.1)
    beside.report(1.0)
    beside.gate.admit()
    assert await waiting is not None
