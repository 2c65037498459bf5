"""The platform's store of keyed records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record.

    Attributes
    ----------
    key : str
        Its key; the newest record of a key counts.
    value : bytes
        Empty for a key that was removed.
    offset : int
        Where it stands in its topic; -1 for one that is not written yet.
    """

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records and where to read on.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Oldest first.
    end : int
        Offset of the next record to come; of a list in several parts, when the first was read.
    unreadable : tuple of str
        What cannot be read, by key or offset; the other records hold.
    era : int or None
        Grows each time the store comes back from an older copy, with offsets of its own; None
        where the store does not say.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    unreadable: tuple[str, ...] = ()
    era: int | None = None


class RecordStore(Protocol):
    """Keyed records in named topics.

    Every call raises `StoreUnavailableError` when no usable answer came; a write
    that raises may have been done or may be done later.
    """

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key."""

    async def changes(self, topic: str, offset: int, wait: float) -> RecordPage | None:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds for one.

        Returns
        -------
        RecordPage or None
            None if records from ``offset`` on are not kept any more.
        """

    async def put(self, topic: str, record: KeyedRecord) -> int:
        """Write a record; return its offset, by which records written at once are numbered."""
