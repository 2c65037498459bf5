from __future__ import annotations

import asyncio

import pytest

from hoisthook.admission.demand import Demand
from hoisthook.admission.priority_gate import PriorityGate
from hoisthook.admission.priority_gate import Slot
from hoisthook.admission.server_speed import ServerSpeed
from tests.fakes import FakeClock

NOW = 1000.0
LONG = NOW + 5.0


def demand(priority: int = 0, due: float = NOW + 100.0, work: float = 0.1) -> Demand:
    return Demand(priority, due, due + 100.0, work)


def gate_of(limit: int) -> PriorityGate:
    return PriorityGate(limit, ServerSpeed(), FakeClock(NOW))


async def take_slot(gate: PriorityGate) -> Slot:
    slot = await gate.enter(demand())
    assert slot is not None
    return slot


async def enter_and_record(
    gate: PriorityGate, request: Demand, order: list[Demand], slots: list[Slot]
) -> None:
    slot = await gate.enter(request, LONG)
    if slot is not None:
        order.append(request)
        slots.append(slot)


async def test_most_urgent_waiter_gets_the_slot_first() -> None:
    gate = gate_of(1)
    slots = [await take_slot(gate)]
    order: list[Demand] = []
    waiting = [
        asyncio.create_task(enter_and_record(gate, demand(p), order, slots)) for p in (2, 0, 1, 0)
    ]
    await asyncio.sleep(0)
    assert gate.waiting == 4
    assert gate.waiting_before(demand(1)) == 3
    for _ in range(4):
        gate.leave(slots.pop())
        await asyncio.sleep(0)
    await asyncio.gather(*waiting)
    assert [request.priority for request in order] == [0, 0, 1, 2]


async def test_within_a_priority_the_one_due_first_goes_first() -> None:
    gate = gate_of(1)
    slots = [await take_slot(gate)]
    order: list[Demand] = []
    waiting = [
        asyncio.create_task(enter_and_record(gate, demand(1, NOW + due), order, slots))
        for due in (3.0, 1.0, 2.0)
    ]
    await asyncio.sleep(0)
    for _ in range(3):
        gate.leave(slots.pop())
        await asyncio.sleep(0)
    await asyncio.gather(*waiting)
    assert [request.due - NOW for request in order] == [1.0, 2.0, 3.0]


async def test_within_a_priority_the_one_that_must_start_first_goes_first() -> None:
    gate = gate_of(1)
    slots = [await take_slot(gate)]
    order: list[Demand] = []
    short, long = demand(due=NOW + 1.0, work=0.1), demand(due=NOW + 1.2, work=0.9)
    waiting = [asyncio.create_task(enter_and_record(gate, d, order, slots)) for d in (short, long)]
    await asyncio.sleep(0)
    for _ in range(2):
        gate.leave(slots.pop())
        await asyncio.sleep(0)
    await asyncio.gather(*waiting)
    assert order == [long, short]


async def test_late_request_goes_after_requests_that_can_be_in_time() -> None:
    gate = gate_of(1)
    slots = [await take_slot(gate)]
    order: list[Demand] = []
    late, in_time = demand(0, due=NOW + 0.05), demand(1, due=NOW + 0.2)
    waiting = [
        asyncio.create_task(enter_and_record(gate, d, order, slots)) for d in (late, in_time)
    ]
    await asyncio.sleep(0)
    for _ in range(2):
        gate.leave(slots.pop())
        await asyncio.sleep(0)
    await asyncio.gather(*waiting)
    assert order == [in_time, late]


async def test_no_wait_is_refused_at_once() -> None:
    gate = gate_of(1)
    await take_slot(gate)
    assert await gate.enter(demand()) is None
    assert gate.running == 1


async def test_wait_ends_in_time_and_leaves_nothing_behind() -> None:
    gate = gate_of(1)
    slot = await take_slot(gate)
    assert await gate.enter(demand(), NOW + 0.01) is None
    assert gate.waiting == 0
    gate.leave(slot)
    assert gate.running == 0


async def test_cancelled_waiter_takes_no_slot() -> None:
    gate = gate_of(1)
    slot = await take_slot(gate)
    waiting = asyncio.create_task(gate.enter(demand(), LONG))
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    gate.leave(slot)
    assert gate.running == 0
    assert gate.has_capacity


async def test_waiter_cancelled_while_it_is_admitted_releases_the_slot() -> None:
    gate = gate_of(1)
    slot = await take_slot(gate)
    waiting = asyncio.create_task(gate.enter(demand(), LONG))
    await asyncio.sleep(0)
    gate.leave(slot)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert gate.running == 0


async def test_refuse_waiting_rejects_all_waiters() -> None:
    gate = gate_of(1)
    slot = await take_slot(gate)
    waiting = [asyncio.create_task(gate.enter(demand(), LONG)) for _ in range(3)]
    await asyncio.sleep(0)
    gate.refuse_waiting()
    assert await asyncio.gather(*waiting) == [None, None, None]
    gate.leave(slot)
    assert gate.running == 0


async def test_raised_limit_admits_waiters_and_lowered_leaves_the_running_alone() -> None:
    gate = gate_of(1)
    slot = await take_slot(gate)
    waiting = asyncio.create_task(gate.enter(demand(), LONG))
    await asyncio.sleep(0)
    gate.set_limit(2)
    assert await waiting is not None
    gate.set_limit(1)
    assert gate.running == 2
    gate.leave(slot)
    assert not gate.has_capacity
