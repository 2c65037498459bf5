"""A window of tokens that a team's more urgent requests find room in."""

from __future__ import annotations

import math

from hoisthook.teams.window_count import WindowCount

# What was asked for lately tells what will be asked for next.
ASKED_SECONDS = 2.0
# Of a window so much is kept for the more urgent at most, so that the others are not starved.
MAX_KEPT_SHARE = 0.75


class RankedWindow:
    """Tokens given out in a window, by the rank of the requests that got them.

    Load pattern: a team asks several times its quota, of all kinds at once. Given to whoever comes
    first, its tokens go to each kind alike; so its few valuable requests are refused as often as
    reads that it can do without, and after a burst of those nothing is left for the rest of the
    window. So the less urgent get no more of a window than what the more urgent, asking as they
    did in the last seconds, will leave of it.

    Parameters
    ----------
    seconds : float
        Length of the window.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._given_by_rank: dict[int, WindowCount] = {}
        self._asked_by_rank: dict[int, WindowCount] = {}

    def asked(self, rank: int, now: float) -> None:
        """Note a request, whatever becomes of it."""
        if rank not in self._asked_by_rank:
            self._asked_by_rank[rank] = WindowCount(ASKED_SECONDS)
        self._asked_by_rank[rank].add(1.0, now)

    def give(self, count: float, rank: int, now: float) -> None:
        """Count tokens that are given out."""
        if rank not in self._given_by_rank:
            self._given_by_rank[rank] = WindowCount(self._seconds)
        self._given_by_rank[rank].add(count, now)

    def take_back(self, rank: int, given_at: float) -> None:
        """Count out a token that was not used."""
        if rank in self._given_by_rank:
            self._given_by_rank[rank].remove_one(given_at)

    def room(self, rank: int, capacity: float, now: float) -> float:
        """Return how many tokens a window has left for requests of a rank.

        Parameters
        ----------
        rank : int
            Theirs; 0 is the most urgent.
        capacity : float
            Tokens in a window.
        now : float
            The moment.
        """
        total = 0.0
        others = 0.0
        for given_rank, given in self._given_by_rank.items():
            count = given.total(now)
            total += count
            if given_rank >= rank:
                others += count
        return capacity - max(total, others + self._kept_from(rank, capacity, now))

    def seconds_to_room(self, now: float) -> float:
        """Return the seconds until the oldest tokens leave the window."""
        left = [given.seconds_to_less(now) for given in self._given_by_rank.values()]
        return min((seconds for seconds in left if seconds > 0), default=0.0)

    def urgent_per_second(self, rank: int, now: float) -> float:
        """Return how often what is more urgent than a rank was asked for lately."""
        urgent = sum(asked.total(now) for r, asked in self._asked_by_rank.items() if r < rank)
        return urgent / ASKED_SECONDS

    def _kept_from(self, rank: int, capacity: float, now: float) -> float:
        urgent = self._seconds * self.urgent_per_second(rank, now)
        # And as many more as chance alone may well add.
        return min(MAX_KEPT_SHARE * capacity, urgent + 2.0 * math.sqrt(urgent))
