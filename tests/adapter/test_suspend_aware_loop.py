"""Guards against timers and deadlines that do not count the time of a suspension.

The monotonic clock stops while a machine is suspended, so the loop uses `CLOCK_BOOTTIME`.
"""

from __future__ import annotations

import asyncio
import time

import hoisthook_platform.main
import pytest

import hoisthook.console.commands.run
from hoisthook.adapter import suspend_aware_loop
from hoisthook.adapter.suspend_aware_loop import run
from hoisthook.node.loop_clock import LoopClock

SUSPENDED_SECONDS = 3600.0


def test_time_of_a_suspension_counts_for_clock_and_timers(monkeypatch: pytest.MonkeyPatch) -> None:
    read_clock = time.clock_gettime
    suspended_seconds = [0.0]

    def read_clock_after_suspension(clock: int) -> float:
        return read_clock(clock) + (suspended_seconds[0] if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", read_clock_after_suspension)

    async def wait_through_suspension() -> float:
        started = LoopClock().now()
        timeout = asyncio.timeout(SUSPENDED_SECONDS / 2)
        with pytest.raises(TimeoutError):
            async with timeout:
                suspended_seconds[0] = SUSPENDED_SECONDS
                assert LoopClock().now() - started >= SUSPENDED_SECONDS
                await asyncio.Event().wait()
        return LoopClock().now() - started

    assert run(wait_through_suspension()) >= SUSPENDED_SECONDS


def test_both_programs_use_the_suspend_aware_loop() -> None:
    for program in (hoisthook_platform.main, hoisthook.console.commands.run):
        assert vars(program)["run"] is suspend_aware_loop.run
