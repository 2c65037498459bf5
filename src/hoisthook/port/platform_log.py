"""Protocol of the platform's append-only log."""

from __future__ import annotations

from typing import Protocol

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """One record: its offset within the stream and its bytes."""

    offset: int
    payload: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Records read in one call.

    Attributes
    ----------
    earliest : int
        Offset of the oldest retained record; equal to ``next`` in an empty stream.
    next : int
        Offset that the next append will get.
    records : tuple of LogRecord
        In order, starting at the requested offset, or at ``earliest`` if that is later.
    """

    earliest: int
    next: int
    records: tuple[LogRecord, ...]


class PlatformLog(Protocol):
    """Streams of records with consecutive offsets, retained for a limited time."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises
        ------
        LogUnavailableError
            If the record was certainly not appended.
        AppendUnknownError
            If the answer was lost: the record may or may not have been appended.
        """

    async def read(self, stream: str, offset: int, *, wait: float = 0.0) -> LogPage:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds for the first.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        """

    async def close(self) -> None:
        """Close all connections."""
