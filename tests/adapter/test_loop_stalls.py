from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hoisthook.adapter import loop_stalls
from hoisthook.adapter.loop_stalls import LoopStalls
from standin.mesh_system import ListLog
from tests.waiting import until

if TYPE_CHECKING:
    import pytest


async def test_stalled_loop_is_logged() -> None:
    log = ListLog()
    stalls = LoopStalls(log)
    stalls.start()
    time.sleep(loop_stalls.TICK_SECONDS + 2 * loop_stalls.STALL_SECONDS)
    await until(lambda: bool(log.named("loop_stalled")))
    assert stalls.seconds >= loop_stalls.STALL_SECONDS
    stalls.close()


async def test_closed_monitor_logs_nothing_more(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loop_stalls, "STALL_SECONDS", 0.0)
    monkeypatch.setattr(loop_stalls, "TICK_SECONDS", 0.0)
    log = ListLog()
    stalls = LoopStalls(log)
    stalls.start()
    await until(lambda: bool(log.named("loop_stalled")))
    stalls.close()
    logged_count = len(log.lines)
    await asyncio.sleep(0)
    assert len(log.lines) == logged_count
