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
    """

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records and where to read on.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Oldest first.
    end : int
        Offset of the next record to come.
    """

    records: tuple[KeyedRecord, ...]
    end: int


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
