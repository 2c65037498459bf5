"""A timeout that does not count a stall of the event loop as the other side's delay."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@asynccontextmanager
async def stall_tolerant_timeout(seconds: float) -> AsyncIterator[None]:
    """Limit the body of the ``async with`` statement to a time, as `asyncio.timeout` does.

    The second half of the time starts when the event loop runs the timer of the first half. What
    has arrived during a stall of the loop in the first half is thus still processed in time.

    Parameters
    ----------
    seconds : float
        Time limit; a stall extends it.

    Raises
    ------
    TimeoutError
        If the time has passed.
    """
    loop = asyncio.get_running_loop()
    half = seconds / 2
    async with asyncio.timeout(None) as deadline:
        halfway = loop.call_later(half, lambda: deadline.reschedule(loop.time() + half))
        try:
            yield
        finally:
            halfway.cancel()
