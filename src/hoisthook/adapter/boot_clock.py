"""Clock that also counts the time for which the machine was suspended."""

from __future__ import annotations

import time


class BootClock:
    """A `hoisthook.port.clock.Clock` that goes on while the machine is suspended.

    The event loop's clock stands still meanwhile, so an age that is measured with it may be too
    small.
    """

    def now(self) -> float:
        """Return seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
