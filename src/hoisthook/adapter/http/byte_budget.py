"""Memory that what a node receives and has not sent on may take together."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.exceptions import AnswerTooLargeError

if TYPE_CHECKING:
    from types import TracebackType

# Bytes of each answer that are not counted, so that small ones never wait; and bytes of a holder
# for which the reserve is there.
FREE_BYTES = 64 * 1024
# When to come back after a refusal; what holds the memory completes or is given up within seconds.
MEMORY_RETRY_SECONDS = 0.5
# Part of the budget that is left to holders with few bytes.
RESERVED_SHARE = 0.125
# Part of the budget that is freed at once when it is full, so that holders are ranked rarely.
FREED_SHARE = 0.03
# Added to the age of a holder's last byte, so that its size counts also where all are recent.
MIN_AGE_SECONDS = 1.0


class Grant(Enum):
    """Answer to a holder that needs bytes."""

    GIVEN = "given"
    # Others have given up what it needs, but have not freed it yet.
    LATER = "later"
    REFUSED = "refused"


class Holder(Protocol):
    """Holds bytes that others need.

    Attributes
    ----------
    held : int
        Bytes that are assigned to it; changed by the budget only.
    received_at : float
        When it last received something, on the loop's clock.
    """

    held: int
    received_at: float

    @property
    def is_releasable(self) -> bool:
        """Return whether it holds what nobody works on yet or any more."""

    def release_memory(self) -> None:
        """Give that up, and its bytes back at once or later, see `ByteBudget.give_back_later`."""


class ByteBudget:
    """Divides a number of bytes among connections of callers and answers that are being read.

    When the budget is full, the connections that have held most bytes for the longest time give
    them up, until there is space or the one that asks is next: of a crowd whose requests do not
    become complete, the rest goes on. What is being served is never given up.

    An answer that needs more than is left then waits for others to complete. Nobody would complete
    if all waited, so one that holds its equal part already is given up instead.

    Parameters
    ----------
    total_bytes : int
        Bytes for all together.
    """

    def __init__(self, total_bytes: int) -> None:
        self._total = total_bytes
        self._reserved = int(RESERVED_SHARE * total_bytes)
        self._holders: set[Holder] = set()
        self._shares: set[ByteShare] = set()
        self._released = asyncio.Event()
        # Bytes that have been given up and not freed.
        self._being_freed = 0
        self.held = 0

    def add(self, holder: Holder) -> None:
        """Let a holder take bytes."""
        self._holders.add(holder)

    def remove(self, holder: Holder) -> None:
        """Take back all bytes of a holder, which takes no more."""
        self._holders.discard(holder)
        self.give_back(holder, holder.held)

    def hold(self, holder: Holder, count: int) -> Grant:
        """Assign bytes to a holder if they are left or others give them up."""
        is_small = holder.held + count <= FREE_BYTES
        limit = (self._total if is_small else self._total - self._reserved) - count
        if self.held > limit and not self._make_space(limit, holder):
            return Grant.REFUSED
        if self.held + self._being_freed > limit:
            return Grant.LATER
        self.hold_anyway(holder, count)
        return Grant.GIVEN

    def hold_anyway(self, holder: Holder, count: int) -> None:
        """Assign bytes that the holder has taken already."""
        self.held += count
        holder.held += count

    def give_back(self, holder: Holder, count: int) -> None:
        """Take back bytes of a holder, as far as it has any."""
        count = min(count, holder.held)
        if count:
            holder.held -= count
            self.held -= count
            self._released.set()

    def give_back_later(self, holder: Holder, count: int) -> None:
        """Take back bytes that the holder has given up, and frees when `freed` is called."""
        self.give_back(holder, count)
        self._being_freed += count

    def freed(self, count: int) -> None:
        """Process that bytes of `give_back_later` have been freed."""
        self._being_freed -= count

    def share(self) -> ByteShare:
        """Return the share of an answer, a context manager that releases it."""
        return ByteShare(self)

    def take(self, share: ByteShare, count: int) -> bool:
        """Assign bytes to the share of an answer if they are left or callers give them up.

        Raises
        ------
        AnswerTooLargeError
            If none are left for it and it would have more than an equal part of all.
        """
        self._shares.add(share)
        if self.held + count <= self._total or self._make_space(self._total - count):
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

    def _make_space(self, limit: int, claimant: Holder | None = None) -> bool:
        """Have holders give up bytes until at most ``limit`` are held; return whether they are."""
        now = asyncio.get_running_loop().time()
        releasable = [holder for holder in self._holders if holder.is_releasable]
        releasable.sort(key=lambda h: h.held * (now - h.received_at + MIN_AGE_SECONDS))
        target = limit - int(FREED_SHARE * self._total)
        while releasable and self.held > target:
            holder = releasable.pop()
            if holder is claimant:
                break
            holder.release_memory()
        return self.held <= limit


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
