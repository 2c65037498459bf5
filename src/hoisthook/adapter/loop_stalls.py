"""Tells of times in which the event loop stood still."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.port.event_log import EventLog

TICK_SECONDS = 0.1
# Other nodes take this node for silent after as long, at the least.
STALL_SECONDS = 0.05


class LoopStalls:
    """Writes a line whenever a timer of the loop fires late.

    A stall that ends between two ticks shows shorter than it was, by up to `TICK_SECONDS`.

    Parameters
    ----------
    log : EventLog
        Gets the lines.

    Attributes
    ----------
    seconds : float
        Sum of all stalls since the start.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._timer: asyncio.TimerHandle | None = None
        self.seconds = 0.0

    def start(self) -> None:
        """Begin to watch the running loop."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_SECONDS, self._tick, loop.time() + TICK_SECONDS)

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self, due: float) -> None:
        late = asyncio.get_running_loop().time() - due
        if late >= STALL_SECONDS:
            self.seconds += late
            self._log.event("loop_stalled", seconds=round(late, 3))
        self.start()
