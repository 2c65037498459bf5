"""How often nothing runs at the backend server beside, as a request that comes would find it."""

from __future__ import annotations

import math
from dataclasses import dataclass

# How fast the share follows the load.
FOLLOWING_SECONDS = 5.0
# For how long runs that a predecessor of this process has begun may go on making calls, unless
# the backend server says that it runs nothing.
UNKNOWN_RUNS_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class IdleObservation:
    """What a request found beside the node that took it.

    Attributes
    ----------
    share : float
        Of the time in which nothing runs there; 0 where that is not known.
    is_idle : bool
        Whether nothing ran when it came: then no run there can have made it.
    """

    share: float = 0.0
    is_idle: bool = False


UNKNOWN = IdleObservation()


class IdleTracker:
    """Follows whether anything runs beside.

    Parameters
    ----------
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        self._known_from = now + UNKNOWN_RUNS_SECONDS
        self._at = now
        self._is_idle = True
        # Each moment counts the less the longer ago it is.
        self._seconds = 0.0
        self._idle_seconds = 0.0

    def turned(self, now: float, *, is_idle: bool) -> None:
        """Take in that from now on something runs, or nothing does."""
        self._follow(now)
        self._is_idle = is_idle

    def emptied(self, now: float) -> None:
        """Take in that the backend server runs nothing, so nothing of a predecessor either."""
        self._known_from = min(self._known_from, now)

    def idle_observation(self, now: float) -> IdleObservation:
        """Return what a request finds that comes now."""
        self._follow(now)
        if now < self._known_from:
            return UNKNOWN
        share = self._idle_seconds / self._seconds if self._seconds > 0 else 0.0
        return IdleObservation(share, self._is_idle)

    def _follow(self, now: float) -> None:
        kept = math.exp(-(now - self._at) / FOLLOWING_SECONDS)
        passed = (1.0 - kept) * FOLLOWING_SECONDS
        self._seconds = kept * self._seconds + passed
        self._idle_seconds = kept * self._idle_seconds + (passed if self._is_idle else 0.0)
        self._at = now
