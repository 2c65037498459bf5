"""Fire-and-forget tasks that are cancelled with their owner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine


class BackgroundTasks:
    """Holds references to running tasks, so that they are not garbage collected, until closed."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run a coroutine concurrently with the caller."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the tasks that still run."""
        for task in self._tasks:
            task.cancel()
