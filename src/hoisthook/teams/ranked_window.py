"""A sliding window of granted tokens with a reserve for a team's more urgent requests."""

from __future__ import annotations

import math

from hoisthook.teams.window_count import WindowCount

# Window over which the demand is counted to predict the next requests.
DEMAND_SECONDS = 2.0
# Largest share of a window that is reserved for more urgent requests, so that others do not starve.
MAX_RESERVED_SHARE = 0.75


class RankedWindow:
    """Tokens granted within a window, by the rank of their requests.

    Load pattern: a team sends several times its quota, with requests of all ranks at once. Granted
    first come, first served, its few valuable requests are rejected as often as dispensable reads,
    and after a burst of reads no tokens are left for the rest of the window. Less urgent requests
    therefore get only the tokens that the more urgent ones will leave, predicted from the demand
    of the last `DEMAND_SECONDS`.

    Parameters
    ----------
    seconds : float
        Length of the window.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._granted_by_rank: dict[int, WindowCount] = {}
        self._requested_by_rank: dict[int, WindowCount] = {}

    def record_request(self, rank: int, now: float) -> None:
        """Record a request, whether or not it gets a token."""
        if rank not in self._requested_by_rank:
            self._requested_by_rank[rank] = WindowCount(DEMAND_SECONDS)
        self._requested_by_rank[rank].add(1.0, now)

    def record_grant(self, count: float, rank: int, now: float) -> None:
        """Add granted tokens to the window."""
        if rank not in self._granted_by_rank:
            self._granted_by_rank[rank] = WindowCount(self._seconds)
        self._granted_by_rank[rank].add(count, now)

    def revoke(self, rank: int, granted_at: float) -> None:
        """Remove an unused token from the window."""
        if rank in self._granted_by_rank:
            self._granted_by_rank[rank].remove_one(granted_at)

    def grants(self, now: float) -> list[tuple[float, float, int]]:
        """Return age in seconds, number and rank of the granted tokens."""
        return [
            (age, count, rank)
            for rank, granted in self._granted_by_rank.items()
            for age, count in granted.entries(now)
        ]

    def available(self, rank: int, capacity: float, now: float) -> float:
        """Return how many tokens the window has left for requests of a rank.

        Parameters
        ----------
        rank : int
            Rank of the requests; 0 is the most urgent.
        capacity : float
            Tokens in a window.
        now : float
            Seconds on a monotonic clock.
        """
        total = 0.0
        same_or_less_urgent = 0.0
        for granted_rank, granted in self._granted_by_rank.items():
            count = granted.total(now)
            total += count
            if granted_rank >= rank:
                same_or_less_urgent += count
        return capacity - max(
            total, same_or_less_urgent + self._reserved_above(rank, capacity, now)
        )

    def seconds_until_available(self, now: float) -> float:
        """Return the seconds until the oldest tokens leave the window."""
        left = [granted.seconds_until_expiry(now) for granted in self._granted_by_rank.values()]
        return min((seconds for seconds in left if seconds > 0), default=0.0)

    def urgent_per_second(self, rank: int, now: float) -> float:
        """Return the recent rate of requests that are more urgent than a rank, per second."""
        urgent = sum(
            requested.total(now) for r, requested in self._requested_by_rank.items() if r < rank
        )
        return urgent / DEMAND_SECONDS

    def _reserved_above(self, rank: int, capacity: float, now: float) -> float:
        urgent = self._seconds * self.urgent_per_second(rank, now)
        # Two standard deviations of a Poisson count on top.
        return min(MAX_RESERVED_SHARE * capacity, urgent + 2.0 * math.sqrt(urgent))
