from __future__ import annotations

import asyncio

import pytest

from hoisthook.admission.priority_gate import PriorityGate


async def entered(gate: PriorityGate, priority: int, order: list[int]) -> None:
    if await gate.enter(priority, 5.0):
        order.append(priority)


async def test_most_urgent_waiter_gets_the_slot_first() -> None:
    gate = PriorityGate(1)
    assert await gate.enter(1, 0.0)
    order: list[int] = []
    waiting = [asyncio.create_task(entered(gate, p, order)) for p in (2, 0, 1, 0)]
    await asyncio.sleep(0)
    assert gate.waiting == 4
    assert gate.waiting_before(1) == 3
    for _ in range(4):
        gate.leave()
        await asyncio.sleep(0)
    await asyncio.gather(*waiting)
    assert order == [0, 0, 1, 2]


async def test_within_a_priority_the_one_due_first_goes_first() -> None:
    gate = PriorityGate(1)
    assert await gate.enter(0, 0.0)
    order: list[float] = []

    async def wait(due: float) -> None:
        if await gate.enter(1, 5.0, due=due):
            order.append(due)

    waiting = [asyncio.create_task(wait(due)) for due in (3.0, 1.0, 2.0)]
    await asyncio.sleep(0)
    for _ in range(3):
        gate.leave()
        await asyncio.sleep(0)
    await asyncio.gather(*waiting)
    assert order == [1.0, 2.0, 3.0]


async def test_no_wait_is_refused_at_once() -> None:
    gate = PriorityGate(1)
    assert await gate.enter(0, 0.0)
    assert not await gate.enter(0, 0.0)
    assert gate.running == 1


async def test_wait_ends_in_time_and_leaves_nothing_behind() -> None:
    gate = PriorityGate(1)
    assert await gate.enter(0, 0.0)
    assert not await gate.enter(0, 0.01)
    assert gate.waiting == 0
    gate.leave()
    assert gate.running == 0


async def test_cancelled_waiter_takes_no_slot() -> None:
    gate = PriorityGate(1)
    assert await gate.enter(0, 0.0)
    waiting = asyncio.create_task(gate.enter(0, 5.0))
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    gate.leave()
    assert gate.running == 0
    assert gate.has_room


async def test_waiter_cancelled_in_the_moment_of_its_admission_gives_the_slot_back() -> None:
    gate = PriorityGate(1)
    assert await gate.enter(0, 0.0)
    waiting = asyncio.create_task(gate.enter(0, 5.0))
    await asyncio.sleep(0)
    gate.leave()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert gate.running == 0


async def test_refusing_sends_all_waiters_away() -> None:
    gate = PriorityGate(1)
    assert await gate.enter(0, 0.0)
    waiting = [asyncio.create_task(gate.enter(0, 5.0)) for _ in range(3)]
    await asyncio.sleep(0)
    gate.refuse_waiting()
    assert await asyncio.gather(*waiting) == [False, False, False]
    gate.leave()
    assert gate.running == 0


async def test_raised_limit_admits_waiters_and_lowered_leaves_the_running_alone() -> None:
    gate = PriorityGate(1)
    assert await gate.enter(0, 0.0)
    waiting = asyncio.create_task(gate.enter(0, 5.0))
    await asyncio.sleep(0)
    gate.set_limit(2)
    assert await waiting
    gate.set_limit(1)
    assert gate.running == 2
    gate.leave()
    assert not gate.has_room
