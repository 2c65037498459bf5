"""Tracks the era, the current history of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.port.event_log import EventLog

# Offsets of one era stay below this.
OFFSETS_PER_ERA = 1 << 48


def revision_at(era: int, offset: int) -> int:
    """Return a revision that orders positions in the store's log, by era first.

    A store that was restored from an older copy assigns the same offsets again, so offsets alone
    do not order positions: of two with the same offset, that of the later era is the newer one.
    """
    return era * OFFSETS_PER_ERA + offset


def provisional_revision_at(era: int, offset: int) -> int:
    """Return a revision just below that of a view which is known to be complete.

    A view read while lost records may not have been rewritten yet keeps what the store no longer
    lists. It must not hold against the complete view that is read later at the same position.
    """
    return revision_at(era, offset) - 1


class StoreEra:
    """The latest era of the store that this node has learned of, from the store or from peers.

    Parameters
    ----------
    log : EventLog
        Gets an event when the store has regressed to an older state.

    Attributes
    ----------
    current : int or None
        The latest known era; None before the first.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._listeners: list[Callable[[], None]] = []
        self.current: int | None = None

    def on_change(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called when the store has regressed to an older state."""
        self._listeners.append(listener)

    def update(self, era: int | None) -> None:
        """Apply an era received from the store or from a peer; earlier ones are ignored."""
        if era is None or (self.current is not None and era <= self.current):
            return
        before = self.current
        self.current = era
        if before is None:
            return
        self._log.event("store_came_back_older", era=era, before=before)
        for listener in self._listeners:
            listener()
