"""Protocol of the platform's store of keyed records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a topic.

    Attributes
    ----------
    key : str
        Key of the record; its newest record is the current one.
    value : bytes
        Content; empty for a key that was removed.
    offset : int
        Position in the topic; -1 for a record that is not written yet.
    """

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records and the offset to continue reading from.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Oldest first.
    end : int
        Offset of the next record to be written; of a list read in several pages, as of the first
        page.
    unreadable : tuple of str
        Records that cannot be decoded, by key or offset; the other records are valid.
    era : int or None
        Number of the store's history; it grows each time the store is restored from an older copy,
        whose offsets then diverge. None if the store does not report it.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    unreadable: tuple[str, ...] = ()
    era: int | None = None


class RecordStore(Protocol):
    """Keyed records in named topics.

    Every call raises `StoreUnavailableError` if there is no usable answer; a write that
    raises may have been applied or may still be applied later.
    """

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key."""

    async def changes(self, topic: str, offset: int, wait: float) -> RecordPage | None:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds for the first.

        Returns
        -------
        RecordPage or None
            None if the records from ``offset`` on are no longer retained.
        """

    async def put(self, topic: str, record: KeyedRecord, *, is_urgent: bool = False) -> int:
        """Write a record and return its offset, which orders concurrent writes.

        Parameters
        ----------
        topic : str
            Topic of the record.
        record : KeyedRecord
            The record.
        is_urgent : bool
            Whether to use a new connection, because idle ones may be dead.
        """
