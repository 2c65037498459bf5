"""Tracks the share of time for which the local backend server is idle."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Time constant of the exponential average of the idle share.
TIME_CONSTANT_SECONDS = 5.0
# How long requests forwarded by the previous incarnation of this node may still make calls, unless
# the backend server reports that it runs nothing.
PREDECESSOR_RUN_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class IdleObservation:
    """Whether the backend server of a request's ingress node was idle when the request arrived.

    Attributes
    ----------
    share : float
        Recent share of time for which it was idle, from 0 to 1; 0 if not known.
    is_idle : bool
        Whether it was idle then, so that it cannot have sent the request as a call.
    """

    share: float = 0.0
    is_idle: bool = False


UNKNOWN = IdleObservation()


class IdleTracker:
    """Tracks whether the local backend server executes anything.

    Parameters
    ----------
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        self._known_from = now + PREDECESSOR_RUN_SECONDS
        self._at = now
        self._is_idle = True
        # Both are exponentially decayed sums.
        self._seconds = 0.0
        self._idle_seconds = 0.0

    def set_idle(self, now: float, *, is_idle: bool) -> None:
        """Record that the backend server has just become idle or busy."""
        self._advance(now)
        self._is_idle = is_idle

    def confirm_idle(self, now: float) -> None:
        """Record the backend server's report that it runs nothing.

        Requests forwarded by a previous incarnation of this node are then complete as well.
        """
        self._known_from = min(self._known_from, now)

    def idle_observation(self, now: float) -> IdleObservation:
        """Return the observation for a request that arrives now."""
        self._advance(now)
        if now < self._known_from:
            return UNKNOWN
        share = self._idle_seconds / self._seconds if self._seconds > 0 else 0.0
        return IdleObservation(share, self._is_idle)

    def _advance(self, now: float) -> None:
        decay = math.exp(-(now - self._at) / TIME_CONSTANT_SECONDS)
        added = (1.0 - decay) * TIME_CONSTANT_SECONDS
        self._seconds = decay * self._seconds + added
        self._idle_seconds = decay * self._idle_seconds + (added if self._is_idle else 0.0)
        self._at = now
