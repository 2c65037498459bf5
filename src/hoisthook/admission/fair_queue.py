"""Bounded queue that is fair between callers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.admission.slot_gate import Ticket
    from hoisthook.identity import CallerId


class FairQueue:
    """Queues requests per caller and serves the caller with the fewest running requests first.

    The weight of a caller is the number of its requests that run or wait.

    Parameters
    ----------
    running_by_caller : dict
        Number of requests of each caller that hold a slot; maintained by the gate.
    """

    def __init__(self, running_by_caller: dict[CallerId, int]) -> None:
        self._running_by_caller = running_by_caller
        self._queue_by_caller: dict[CallerId, deque[Ticket]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, ticket: Ticket) -> None:
        """Append a request to its caller's queue."""
        self._queue_by_caller.setdefault(ticket.caller, deque()).append(ticket)
        self._size += 1

    def pop(self) -> Ticket:
        """Remove and return the first request of the caller with the fewest running requests."""
        caller = min(self._queue_by_caller, key=self._running)
        queue = self._queue_by_caller[caller]
        ticket = queue.popleft()
        self._size -= 1
        # Reinserted at the end, so that callers with as many running requests take turns.
        del self._queue_by_caller[caller]
        if queue:
            self._queue_by_caller[caller] = queue
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from any position."""
        queue = self._queue_by_caller.get(ticket.caller)
        if queue is None or ticket not in queue:
            return
        queue.remove(ticket)
        self._size -= 1
        if not queue:
            del self._queue_by_caller[ticket.caller]

    def displace_for(self, ticket: Ticket) -> Ticket | None:
        """Remove the newest request of the heaviest caller if the caller of ``ticket`` is lighter.

        Returns
        -------
        Ticket or None
            The removed request; None if no request waits, or if ``ticket`` would
            make its own caller at least as heavy.
        """
        if not self._queue_by_caller:
            return None
        heaviest = max(self._queue_by_caller, key=self._weight)
        if self._weight(ticket.caller) + 1 >= self._weight(heaviest):
            return None
        newest = self._queue_by_caller[heaviest][-1]
        self.remove(newest)
        return newest

    def over_share(self, caller: CallerId) -> bool:
        """Return whether a caller's weight is above the average of the active callers."""
        present = set(self._running_by_caller) | set(self._queue_by_caller)
        if len(present) < 2 or caller not in present:
            return False
        total = sum(self._weight(other) for other in present)
        return self._weight(caller) > total / len(present)

    def clear(self) -> list[Ticket]:
        """Remove and return all requests."""
        tickets = [ticket for queue in self._queue_by_caller.values() for ticket in queue]
        self._queue_by_caller.clear()
        self._size = 0
        return tickets

    def _running(self, caller: CallerId) -> int:
        return self._running_by_caller.get(caller, 0)

    def _weight(self, caller: CallerId) -> int:
        queue = self._queue_by_caller.get(caller)
        return self._running(caller) + (len(queue) if queue else 0)
