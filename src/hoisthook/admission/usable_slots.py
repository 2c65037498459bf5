"""Number of a backend server's slots that are worth using."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Samples of each kind before they are compared, since service times vary by a third between
# requests.
MIN_SAMPLES = 24.0
# Beyond this number the sums are halved, so that a change is learned within as many samples.
MAX_SAMPLES = 128.0
# Bounds on one sample, so that a request in an unreported slow period does not dominate.
MIN_RATIO = 0.4
MAX_RATIO = 3.0
# Standard errors by which the means must differ. The comparison is repeated after each request, so
# a lower threshold would be exceeded by chance at some time.
MIN_STANDARD_ERRORS = 3.5
# With more slots than this the reduced limit is used without a trial: a trial slows down all
# requests of a server that slows down when nearly full, and is repeated after each start of its
# node.
MAX_TRIED_SLOTS = 5
# All slots are tried again this long after a reduction: a new version may sustain them.
RETRY_SECONDS = 60.0


@dataclass(slots=True)
class _LogRatioStats:
    """Statistics of the logarithm of actual to expected service time."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, ratio: float) -> None:
        logarithm = math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        self.count += 1.0
        self.total += logarithm
        self.squares += logarithm**2
        if self.count > MAX_SAMPLES:
            self.count /= 2.0
            self.total /= 2.0
            self.squares /= 2.0

    @property
    def mean(self) -> float:
        return self.total / self.count

    @property
    def mean_variance(self) -> float:
        """Return the variance of the mean."""
        return max(0.0, self.squares / self.count - self.mean**2) / self.count


class UsableSlots:
    """Determines whether a backend server has a higher throughput with all of its slots.

    Load pattern: more requests arrive than the server can run. Some servers slow down when nearly
    full, so that their last slots cost more throughput than they add. With other servers each
    unused slot means rejected requests: with three slots, a third of them. Servers do not report
    which kind they are. If there are few slots, all are therefore used until service times above
    the reduced limit are seen to be longer by more than the additional slots gain.

    Parameters
    ----------
    share : float
        Share of the slots, 0 to 1, that is used if the server slows down when nearly full.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._within = _LogRatioStats()
        self._beyond = _LogRatioStats()
        self._reduced_at = -math.inf

    def limit(self, slots: int, now: float) -> int:
        """Return how many of a server's slots to use."""
        reduced_limit = max(1, int(slots * self._share))
        if slots > MAX_TRIED_SLOTS:
            return reduced_limit
        if now - self._reduced_at > RETRY_SECONDS:
            if not self._slows_down(slots / reduced_limit):
                return slots
            self._reduced_at = now
            # The next trial of all slots is evaluated by its own samples only.
            self._beyond = _LogRatioStats()
        return reduced_limit

    def finished(self, slots: int, running: tuple[int, int], ratio: float) -> None:
        """Learn from a request that ran to completion.

        Parameters
        ----------
        slots : int
            Number of slots of the server.
        running : tuple of int
            How many requests held a slot when it started and when it completed, itself included.
        ratio : float
            Ratio of its actual to its expected service time, corrected for the reported slowdown
            at its start.
        """
        reduced_limit = max(1, int(slots * self._share))
        if max(running) <= reduced_limit:
            self._within.add(ratio)
        elif running[0] > reduced_limit:
            self._beyond.add(ratio)

    def _slows_down(self, gain: float) -> bool:
        if min(self._within.count, self._beyond.count) < MIN_SAMPLES:
            return False
        difference = self._beyond.mean - self._within.mean
        min_difference = MIN_STANDARD_ERRORS * math.sqrt(
            self._beyond.mean_variance + self._within.mean_variance
        )
        return difference > math.log(gain) and difference > min_difference
