"""How many requests of callers one that arrives stands for, where calls look the same."""

from __future__ import annotations

import math

# How fast the idle share follows the load.
IDLE_SHARE_SECONDS = 5.0
# One request stands for so many at most: a rare moment without work says little of the rest.
MAX_WEIGHT = 8.0
# Of what is estimated, what is counted: the estimate scatters by a tenth over a thousand requests.
COUNTED_SHARE = 0.8
# For how long runs that a predecessor of this process has begun may go on making calls.
UNKNOWN_RUNS_SECONDS = 3.0


class CallerWeight:
    """Estimates callers' requests from those that come while nothing runs beside.

    Load pattern: half of what a service gets are calls that other services make, and it turns
    most of that away. Operators allow repeats by what callers ask, and nothing in a request tells
    whether a caller or the backend server beside has sent it; but a backend server makes calls
    only while it runs something. Callers do not look at what runs, so of their requests the same
    share comes in idle moments as there is idle time, and each of these stands for the reciprocal.

    Parameters
    ----------
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        self._begun = now
        self._at = now
        self._is_idle = True
        self._idle_share = 1.0

    def turned(self, now: float, *, is_idle: bool) -> None:
        """Take in that from now on something runs beside, or nothing does."""
        self._follow(now)
        self._is_idle = is_idle

    def weight(self, now: float) -> float:
        """Return how many requests of callers one that arrives now stands for."""
        self._follow(now)
        if not self._is_idle or now - self._begun < UNKNOWN_RUNS_SECONDS:
            return 0.0
        return COUNTED_SHARE * min(MAX_WEIGHT, 1.0 / self._idle_share)

    def _follow(self, now: float) -> None:
        kept = math.exp(-(now - self._at) / IDLE_SHARE_SECONDS)
        state = 1.0 if self._is_idle else 0.0
        self._idle_share = max(1.0 / MAX_WEIGHT, state + (self._idle_share - state) * kept)
        self._at = now
