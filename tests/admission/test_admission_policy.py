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


class AdmissionHarness:
    """The parts of admission to one backend server, without the server."""

    def __init__(self, limit: int = 2) -> None:
        self.clock = FakeClock(1000.0)
        self.speed = ServerSpeed()
        self.report(1.0)
        self.gate = PriorityGate(limit, self.speed, self.clock)
        self.policy = AdmissionPolicy(self.gate, self.speed, self.clock)

    def report(self, slowdown: float) -> None:
        self.speed.slow_periods.reported(slowdown, self.clock.now())

    def demand(self, target: float = TARGET, work: float = WORK, spread: float = 0.0) -> Demand:
        now = self.clock.now()
        return Demand(1, now + target, now + DEADLINE, work, spread)

    async def fill(self, work: float = WORK) -> list[Slot]:
        slots = []
        while self.gate.has_capacity:
            slot = await self.gate.enter(self.demand(work=work))
            assert slot is not None
            slots.append(slot)
        return slots


@pytest.fixture
def harness() -> AdmissionHarness:
    return AdmissionHarness()


def test_report_is_renewed_once_it_may_well_be_wrong(harness: AdmissionHarness) -> None:
    assert not harness.policy.is_read_worthwhile(harness.demand())
    harness.clock.advance(0.05)
    assert harness.policy.is_read_worthwhile(harness.demand())


def test_report_is_not_renewed_where_a_slow_period_does_not_make_the_request_late(
    harness: AdmissionHarness,
) -> None:
    harness.clock.advance(0.05)
    assert not harness.policy.is_read_worthwhile(harness.demand(work=0.01))


async def test_report_is_not_renewed_where_no_slot_is_free(harness: AdmissionHarness) -> None:
    await harness.fill()
    harness.clock.advance(0.05)
    assert not harness.policy.is_read_worthwhile(harness.demand())


def test_slow_period_rejects_a_request_unless_it_still_meets_its_target(
    harness: AdmissionHarness,
) -> None:
    harness.report(5.0)
    assert harness.policy.start_now(harness.demand()).verdict is Verdict.SLOW
    assert harness.policy.start_now(harness.demand(work=0.05)).verdict is Verdict.ADMIT


async def test_server_with_long_overdue_requests_rejects_new_ones(
    harness: AdmissionHarness,
) -> None:
    gate = PriorityGate(8, harness.speed, harness.clock)
    policy = AdmissionPolicy(gate, harness.speed, harness.clock)
    for _ in range(3):
        assert await gate.enter(harness.demand()) is not None
    harness.clock.advance(0.3)
    assert policy.start_now(harness.demand()).verdict is Verdict.ADMIT
    harness.clock.advance(0.2)
    assert policy.start_now(harness.demand()).verdict is Verdict.SLOW


async def test_request_waits_if_it_will_start_in_time_and_is_refused_at_once_if_not(
    harness: AdmissionHarness,
) -> None:
    await harness.fill()
    assert harness.policy.may_wait(harness.demand(target=0.5)).verdict is Verdict.ADMIT
    waiting = [
        asyncio.create_task(harness.gate.enter(harness.demand(), harness.clock.now() + 5.0))
        for _ in range(6)
    ]
    await asyncio.sleep(0)
    admission_decision = harness.policy.may_wait(harness.demand())
    assert admission_decision.verdict is Verdict.FULL
    assert admission_decision.retry_after > TARGET - WORK
    harness.gate.refuse_waiting()
    await asyncio.gather(*waiting)


async def test_wait_leaves_room_for_the_spread_of_the_work(harness: AdmissionHarness) -> None:
    now = harness.clock.now()
    assert harness.policy.waits_until(harness.demand()) == pytest.approx(now + 0.4)
    spread = harness.policy.waits_until(harness.demand(spread=0.1))
    assert spread == pytest.approx(now + 0.3)


async def test_call_whose_target_is_over_still_waits_for_a_slot(harness: AdmissionHarness) -> None:
    await harness.fill()
    assert harness.policy.may_wait(harness.demand(target=0.01, work=0.02)).verdict is Verdict.ADMIT


async def test_late_request_yields_while_requests_that_could_be_in_time_are_rejected(
    harness: AdmissionHarness,
) -> None:
    slots = await harness.fill()
    late = harness.demand(target=0.05)
    waiting = asyncio.create_task(harness.gate.enter(late, harness.clock.now() + 5.0))
    await asyncio.sleep(0)
    assert harness.policy.start_now(harness.demand()).verdict is Verdict.FULL
    harness.gate.leave(slots.pop())
    await asyncio.sleep(0)
    assert not waiting.done()
    harness.clock.advance(1.0)
    harness.gate.admit()
    assert await waiting is not None


async def test_light_late_request_does_not_yield(harness: AdmissionHarness) -> None:
    slots = await harness.fill()
    call = harness.demand(target=0.01, work=0.02)
    waiting = asyncio.create_task(harness.gate.enter(call, harness.clock.now() + 5.0))
    await asyncio.sleep(0)
    assert harness.policy.start_now(harness.demand()).verdict is Verdict.FULL
    harness.gate.leave(slots.pop())
    assert await waiting is not None


async def test_late_requests_are_held_until_a_short_slow_period_ends(
    harness: AdmissionHarness,
) -> None:
    harness.report(5.0)
    waiting = asyncio.create_task(harness.gate.enter(harness.demand(), harness.clock.now() + 5.0))
    await asyncio.sleep(0)
    harness.gate.admit()
    assert harness.gate.is_holding
    harness.clock.advance(0.1)
    harness.report(1.0)
    harness.gate.admit()
    assert await waiting is not None


async def test_request_that_yields_does_not_wait_beyond_its_deadline(
    harness: AdmissionHarness,
) -> None:
    """Guards against requests that are held to a deadline which lies before their target."""
    await harness.fill()
    assert harness.policy.start_now(harness.demand()).verdict is Verdict.FULL
    now = harness.clock.now()
    demand = Demand(1, now + 1.0, now + 0.4, WORK, 0.0)
    assert harness.gate.yields(demand)
    assert harness.policy.waits_until(demand) <= demand.deadline - WORK
