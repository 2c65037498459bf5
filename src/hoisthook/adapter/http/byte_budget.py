"""Memory that the answers which a node reads may take together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.exceptions import AnswerTooLargeError

if TYPE_CHECKING:
    from types import TracebackType

# Bytes of each answer that are not counted, so that small ones never wait.
FREE_BYTES = 64 * 1024


class ByteBudget:
    """Divides a number of bytes among the answers that are being read.

    An answer that needs more than is left waits for others to complete. Nobody would complete if
    all waited, so one that holds its equal part already is given up instead: of several answers
    without end each is, and the rest goes on.

    Parameters
    ----------
    total_bytes : int
        Bytes for all answers together.
    """

    def __init__(self, total_bytes: int) -> None:
        self._total = total_bytes
        self._shares: set[ByteShare] = set()
        self._released = asyncio.Event()
        self.held = 0

    def share(self) -> ByteShare:
        """Return the share of an answer, a context manager that releases it."""
        return ByteShare(self)

    def take(self, share: ByteShare, count: int) -> bool:
        """Assign bytes to a share if they are left.

        Raises
        ------
        AnswerTooLargeError
            If none are left for it and it would have more than an equal part of all.
        """
        self._shares.add(share)
        if self.held + count <= self._total:
            self.held += count
            share.held += count
            return True
        equal_part = self._total // len(self._shares)
        if share.held + count > equal_part:
            raise AnswerTooLargeError("bytes of the body beside other answers", equal_part)
        return False

    def release(self, share: ByteShare) -> None:
        """Take back all bytes of a share."""
        self._shares.discard(share)
        self.held -= share.held
        share.held = 0
        self._released.set()

    async def wait_for_release(self) -> None:
        """Wait until bytes are released."""
        self._released.clear()
        await self._released.wait()


class ByteShare:
    """Bytes of the budget that one answer holds.

    Attributes
    ----------
    held : int
        Bytes that are assigned to it.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self.held = 0

    def __enter__(self) -> ByteShare:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._budget.release(self)

    async def grow_to(self, size: int) -> None:
        """Have the bytes for an answer of a size, waiting for them if necessary.

        Raises
        ------
        AnswerTooLargeError
            If the answer takes too much of the budget.
        """
        missing = size - FREE_BYTES - self.held
        while missing > 0 and not self._budget.take(self, missing):
            await self._budget.wait_for_release()
