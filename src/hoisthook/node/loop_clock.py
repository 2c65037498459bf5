"""The running process's monotonic clock."""

from __future__ import annotations

import time


class LoopClock:
    """A `Clock` that agrees with the event loop's timers."""

    now = staticmethod(time.monotonic)
