"""An event loop on virtual time: it advances to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Mapping


class _VirtualTimeSelector(selectors.BaseSelector):
    """Advances the virtual time instead of waiting; no file object is ever ready."""

    def __init__(self) -> None:
        self.now = 0.0

    def register(self, fileobj: object, events: int, data: object = None) -> selectors.SelectorKey:
        """Ignore a file object; the event loop registers only its self-pipe."""
        return selectors.SelectorKey(0, 0, events, data)

    def unregister(self, fileobj: object) -> selectors.SelectorKey:
        """Ignore a file object."""
        return selectors.SelectorKey(0, 0, 0, None)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the virtual time by the timeout.

        Raises
        ------
        RuntimeError
            If no timer is scheduled, so that no task could ever proceed.
        """
        if timeout is None:
            raise RuntimeError("deadlock on virtual time: all tasks wait and no timer is scheduled")
        self.now += max(0.0, timeout)
        return []

    def get_map(self) -> Mapping[object, selectors.SelectorKey]:  # type: ignore[override]
        """Return an empty mapping."""
        return {}


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, without support for sockets and signals."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_virtually(main: Coroutine[object, object, None]) -> None:
    """Run a coroutine to completion on virtual time."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(main)
    finally:
        loop.close()
