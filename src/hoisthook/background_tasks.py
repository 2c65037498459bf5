"""Tasks that nobody waits for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine


class BackgroundTasks:
    """Keeps tasks from being collected while they run, and ends them with their owner."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run some work beside the caller."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel what still runs."""
        for task in self._tasks:
            task.cancel()
