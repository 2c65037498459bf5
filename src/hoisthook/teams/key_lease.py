"""For how long a node may take keys after it last knew that none had been taken away."""

from __future__ import annotations

import math

# A request that is admitted begins to run within this.
MARGIN_SECONDS = 0.4
# Of the lease a reader waits so long for a change at most, and one that asks it for its answer:
# those that ask it, and those that ask them, hear of it while theirs still hold.
WAITED_SHARE = 0.2
HELD_SHARE = 0.08


class KeyLease:
    """Ends where neither the store nor a peer has confirmed the configuration for too long.

    Load pattern: a node is cut off, or the store is, while a key is taken away. It cannot hear of
    it, so it stops taking keys in time, by a clock that goes on while the instance is suspended.

    Parameters
    ----------
    seconds : float
        After the acknowledgement of a change no key that it took away is taken; 0 where nodes
        that cannot know go on serving.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._as_of = -math.inf

    @property
    def is_bound(self) -> bool:
        """Return whether there is a lease at all."""
        return self._seconds > 0

    @property
    def longest_wait(self) -> float:
        """Return for how many seconds a reader may wait for a change."""
        return WAITED_SHARE * self._seconds if self.is_bound else math.inf

    @property
    def longest_hold(self) -> float:
        """Return for how many seconds a question to a reader may be held."""
        return HELD_SHARE * self._seconds if self.is_bound else math.inf

    def confirmed(self, as_of: float) -> None:
        """Note that the configuration in force here was the newest at some moment."""
        self._as_of = max(self._as_of, as_of)

    def age(self, now: float) -> float | None:
        """Return the seconds since that moment; None where it does not matter or never was."""
        return now - self._as_of if self.is_bound and self._as_of > -math.inf else None

    def holds(self, now: float) -> bool:
        """Return whether keys may be taken."""
        return not self.is_bound or now < self._as_of + self._seconds - MARGIN_SECONDS
