"""An event loop whose clock includes the time for which the machine is suspended."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar("Result")


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop with timers, deadlines and leases based on `CLOCK_BOOTTIME`.

    `CLOCK_MONOTONIC` stops while the machine is suspended: a node that resumes would continue
    requests whose callers have disconnected, rely on expired leases, and send backend servers
    deadlines that have already passed.
    """

    def time(self) -> float:
        """Return the seconds since the machine booted, including time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(main: Coroutine[object, object, Result]) -> Result:
    """Run a program's main coroutine on a `SuspendAwareLoop`."""
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        return runner.run(main)
