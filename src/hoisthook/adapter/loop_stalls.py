"""Detects stalls of the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.port.event_log import EventLog

TICK_SECONDS = 0.1
# Shortest silence after which other nodes consider this node unresponsive.
STALL_SECONDS = 0.05


class LoopStalls:
    """Logs an event whenever a timer of the event loop fires late.

    The reported duration of a stall may be too short by up to `TICK_SECONDS`.

    Parameters
    ----------
    log : EventLog
        Receives the events.

    Attributes
    ----------
    seconds : float
        Total duration of all stalls since the start.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._timer: asyncio.TimerHandle | None = None
        self.seconds = 0.0

    def start(self) -> None:
        """Start monitoring the running loop."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_SECONDS, self._tick, loop.time() + TICK_SECONDS)

    def close(self) -> None:
        """Stop monitoring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self, due: float) -> None:
        late = asyncio.get_running_loop().time() - due
        if late >= STALL_SECONDS:
            self.seconds += late
            self._log.event("loop_stalled", seconds=round(late, 3))
        self.start()
