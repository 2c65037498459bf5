"""A short queue that serves callers evenly."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.admission.slot_gate import Ticket
    from hoisthook.identity import CallerId


class FairQueue:
    """Waiting requests, one line a caller; the caller with least running goes first.

    Parameters
    ----------
    running_by_caller : dict
        How many requests of each caller hold a slot; kept by the gate.
    """

    def __init__(self, running_by_caller: dict[CallerId, int]) -> None:
        self._running_by_caller = running_by_caller
        self._line_by_caller: dict[CallerId, deque[Ticket]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, ticket: Ticket) -> None:
        """Add a request at the end of its caller's line."""
        self._line_by_caller.setdefault(ticket.caller, deque()).append(ticket)
        self._size += 1

    def pop(self) -> Ticket:
        """Take the first request of the caller that has least running."""
        caller = min(self._line_by_caller, key=self._running)
        line = self._line_by_caller[caller]
        ticket = line.popleft()
        self._size -= 1
        # The line goes to the end, so that equal callers take turns.
        del self._line_by_caller[caller]
        if line:
            self._line_by_caller[caller] = line
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Take a request out wherever it stands."""
        line = self._line_by_caller.get(ticket.caller)
        if line is None or ticket not in line:
            return
        line.remove(ticket)
        self._size -= 1
        if not line:
            del self._line_by_caller[ticket.caller]

    def displace_for(self, ticket: Ticket) -> Ticket | None:
        """Take out the newest request of the heaviest caller, if ``ticket`` weighs less.

        Returns
        -------
        Ticket or None
            The request taken out; None if the caller of ``ticket`` is itself the
            heaviest, or as heavy.
        """
        if not self._line_by_caller:
            return None
        heaviest = max(self._line_by_caller, key=self._weight)
        if self._weight(ticket.caller) + 1 >= self._weight(heaviest):
            return None
        newest = self._line_by_caller[heaviest][-1]
        self.remove(newest)
        return newest

    def over_share(self, caller: CallerId) -> bool:
        """Return whether a caller weighs more than the average of those present."""
        present = set(self._running_by_caller) | set(self._line_by_caller)
        if len(present) < 2 or caller not in present:
            return False
        total = sum(self._weight(each) for each in present)
        return self._weight(caller) > total / len(present)

    def clear(self) -> list[Ticket]:
        """Take out all requests."""
        tickets = [ticket for line in self._line_by_caller.values() for ticket in line]
        self._line_by_caller.clear()
        self._size = 0
        return tickets

    def _running(self, caller: CallerId) -> int:
        return self._running_by_caller.get(caller, 0)

    def _weight(self, caller: CallerId) -> int:
        line = self._line_by_caller.get(caller)
        return self._running(caller) + (len(line) if line else 0)
