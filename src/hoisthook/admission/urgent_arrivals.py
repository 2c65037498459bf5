"""How much of a bounded room is kept for what is more urgent."""

from __future__ import annotations

from collections import deque

from hoisthook.admission.cold_limit import WINDOW_SECONDS

# Of the room this share is kept at most, so that the less urgent is not starved.
MAX_KEPT_SHARE = 0.75


class UrgentArrivals:
    """Counts what arrives by rank, so that the less urgent leaves room for the more urgent.

    Load pattern: a cold backend server may get so many requests in a second, and more come. Whoever
    comes first takes the room, so each rank loses the same share, also calls whose requests lose
    with them the work already spent. With 9 and 17 requests a second for a room of 20 the more
    urgent get over 0.9 of what they ask for (evenly spread arrivals over 5 s). What came in the
    last second tells what will come in the next.
    """

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, int]] = deque()
        self._sent: deque[tuple[float, int]] = deque()

    def arrived(self, priority: int, now: float) -> None:
        """Note a request, whether it is admitted or not."""
        self._arrivals.append((now, priority))
        self._expire(now)

    def sent(self, priority: int, now: float) -> None:
        """Note a request that is sent."""
        self._sent.append((now, priority))

    def kept_from(self, priority: int, limit: int, now: float) -> int:
        """Return how much of the room is not for a request of a rank.

        Parameters
        ----------
        priority : int
            Its rank; 0 is the most urgent.
        limit : int
            How many requests may be sent in a second.
        now : float
            The moment.
        """
        self._expire(now)
        expected = sum(1 for _, rank in self._arrivals if rank < priority)
        served = sum(1 for _, rank in self._sent if rank < priority)
        return max(0, min(expected, int(MAX_KEPT_SHARE * limit)) - served)

    def _expire(self, now: float) -> None:
        for times in (self._arrivals, self._sent):
            while times and times[0][0] <= now - WINDOW_SECONDS:
                times.popleft()
