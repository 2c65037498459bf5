"""How many of a backend server's slots are worth using."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Requests of each kind before they are judged by: work varies by a third from one to the next.
MIN_SEEN = 24.0
# Beyond them the sums are halved, so that a change is learned within as many.
MAX_SEEN = 128.0
# One request that met a slow moment unseen counts for no more.
MIN_RATIO = 0.4
MAX_RATIO = 3.0
# Standard errors by which it must differ: it is looked at after each request, so that chance
# alone would make it seem to at some time.
CERTAINTY = 3.5
# With more slots than these the part is used untried: finding out slows all that runs there, and
# a server that slows down when nearly full pays for it again after each start of its node.
MAX_TRIED_SLOTS = 5
# All slots are tried again so long after that was given up: another version may bear them.
MEMORY_SECONDS = 60.0


@dataclass(slots=True)
class _Ratios:
    """Logarithms of how much longer than usual requests took."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, ratio: float) -> None:
        logarithm = math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        self.count += 1.0
        self.total += logarithm
        self.squares += logarithm**2
        if self.count > MAX_SEEN:
            self.count /= 2.0
            self.total /= 2.0
            self.squares /= 2.0

    @property
    def mean(self) -> float:
        return self.total / self.count

    @property
    def error(self) -> float:
        """Return the variance of the mean."""
        return max(0.0, self.squares / self.count - self.mean**2) / self.count


class UsableSlots:
    """Finds out whether a backend server does more with all of its slots than with a part.

    Load pattern: more comes than the server can do. Some servers slow down when nearly full, so
    that their last slots take more from the others than they give; with others each slot that is
    left free is work turned away: with three slots, a third of it. Nothing that servers say of
    themselves tells the two apart, so where slots are few all are used until work is seen to take
    longer beyond the part by more than the slots add.

    Parameters
    ----------
    share : float
        The part, of a server that slows down when nearly full.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._within = _Ratios()
        self._beyond = _Ratios()
        self._judged_at = -math.inf

    def limit(self, slots: int, now: float) -> int:
        """Return how many of a server's slots to use."""
        part = max(1, int(slots * self._share))
        if slots > MAX_TRIED_SLOTS:
            return part
        if now - self._judged_at > MEMORY_SECONDS:
            if not self._slows_down(slots / part):
                return slots
            self._judged_at = now
            # Judged anew by what is seen after the next time that all are tried.
            self._beyond = _Ratios()
        return part

    def finished(self, slots: int, running: tuple[int, int], ratio: float) -> None:
        """Learn from a request that ran to its end.

        Parameters
        ----------
        slots : int
            Of the server.
        running : tuple of int
            How many ran as it began and as it ended, itself included.
        ratio : float
            How many times as long as usual it took, the server's own word on its speed at the
            start taken out.
        """
        part = max(1, int(slots * self._share))
        if max(running) <= part:
            self._within.add(ratio)
        elif running[0] > part:
            self._beyond.add(ratio)

    def _slows_down(self, gain: float) -> bool:
        if min(self._within.count, self._beyond.count) < MIN_SEEN:
            return False
        longer = self._beyond.mean - self._within.mean
        doubt = CERTAINTY * math.sqrt(self._beyond.error + self._within.error)
        return longer > math.log(gain) and longer > doubt
