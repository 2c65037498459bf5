"""Which history of the platform's store is the present one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.port.event_log import EventLog

# Offsets of one history stay below this.
OFFSETS = 1 << 48


def revision_at(era: int, offset: int) -> int:
    """Return a place in the store's log as one number that grows with each history.

    A store that comes back from an older copy gives offsets out again, so an offset alone orders
    nothing: the later of two with the same offset is that of the later history.
    """
    return era * OFFSETS + offset


class StoreEra:
    """The latest history of the store that this node has heard of, from the store or from peers.

    Parameters
    ----------
    log : EventLog
        Gets a line when the store has come back older.

    Attributes
    ----------
    current : int or None
        None before anything was heard.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._listeners: list[Callable[[], None]] = []
        self.current: int | None = None

    def on_change(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called when the store has come back from an older copy."""
        self._listeners.append(listener)

    def heard(self, era: int | None) -> None:
        """Take in an era that an answer of the store, or a peer, tells of."""
        if era is None or (self.current is not None and era <= self.current):
            return
        before = self.current
        self.current = era
        if before is None:
            return
        self._log.event("store_came_back_older", era=era, before=before)
        for listener in self._listeners:
            listener()
