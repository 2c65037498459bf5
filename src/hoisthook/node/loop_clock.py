"""The running event loop's clock."""

from __future__ import annotations

import asyncio


class LoopClock:
    """A `Clock` that reads the time of the running event loop, as its timers do."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return asyncio.get_running_loop().time()
