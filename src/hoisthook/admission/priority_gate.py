"""Slots of a backend server, given to the most urgent request that waits."""

from __future__ import annotations

import asyncio
import heapq
from dataclasses import dataclass
from dataclasses import field


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    due: float
    number: int
    admitted: asyncio.Future[bool] = field(compare=False)


class PriorityGate:
    """At most ``limit`` requests run; others wait in order of priority, then of urgency.

    Among requests of one priority the one whose target latency ends first goes first: a
    short call on which a longer request waits is not held up by requests with time to spare.

    Parameters
    ----------
    limit : int
        How many may run.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiters: list[_Waiter] = []
        self._numbers = 0
        self.running = 0

    @property
    def limit(self) -> int:
        """Return how many may run."""
        return self._limit

    @property
    def waiting(self) -> int:
        """Return how many wait."""
        return sum(1 for waiter in self._waiters if not waiter.admitted.done())

    @property
    def has_room(self) -> bool:
        """Return whether a request would start at once."""
        return self.running < self._limit and not self.waiting

    def waiting_before(self, priority: int) -> int:
        """Return how many would get a slot before a request of ``priority``."""
        return sum(1 for w in self._waiters if w.priority <= priority and not w.admitted.done())

    def set_limit(self, limit: int) -> None:
        """Change how many may run; those running are left alone."""
        self._limit = limit
        self._admit()

    async def enter(self, priority: int, max_wait: float, *, due: float = 0.0) -> bool:
        """Take a slot.

        Parameters
        ----------
        priority : int
            Rank; 0 is the most urgent.
        max_wait : float
            Seconds to wait at most.
        due : float
            When its target latency ends, on any clock that all callers share.

        Returns
        -------
        bool
            Whether a slot was got; `leave` gives it back.
        """
        if self.has_room:
            self.running += 1
            return True
        if max_wait <= 0:
            return False
        self._numbers += 1
        admitted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, _Waiter(priority, due, self._numbers, admitted))
        try:
            async with asyncio.timeout(max_wait):
                return await admitted
        except TimeoutError:
            return self._withdrawn(admitted)
        except asyncio.CancelledError:
            if self._withdrawn(admitted):
                self.leave()
            raise

    def leave(self) -> None:
        """Give a slot back."""
        self.running -= 1
        self._admit()

    def refuse_waiting(self) -> None:
        """Send away all that wait."""
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            if not waiter.admitted.done():
                waiter.admitted.set_result(False)

    def _withdrawn(self, admitted: asyncio.Future[bool]) -> bool:
        """Take a waiter out; return whether it had got a slot in the same moment."""
        if admitted.done() and not admitted.cancelled():
            return admitted.result()
        admitted.cancel()
        return False

    def _admit(self) -> None:
        while self._waiters and self.running < self._limit:
            waiter = heapq.heappop(self._waiters)
            if waiter.admitted.done():
                continue
            self.running += 1
            waiter.admitted.set_result(True)
