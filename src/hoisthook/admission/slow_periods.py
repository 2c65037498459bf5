"""How long a report of a backend server's speed holds, learned from the reports themselves."""

from __future__ import annotations

import math

# Slower than this many times the base is not normal variation.
SLOW_FACTOR = 1.7
# The base is the least slowdown reported within one to two of these. A server that has just
# started is slower for seconds, with slow moments on top; waiting for it to be as fast as usual
# would leave it idle until it is warm: 0.680 of the worth over five days with restarts before it
# was told apart, 0.726 after.
BASE_SECONDS = 0.6
# Assumed at first: above what a cold server reports, below a slow moment.
FIRST_BASE = 2.2
# What was seen this long ago counts for a third: neighbours on an instance come and go.
MEMORY_SECONDS = 30.0
# Reports further apart say nothing of what was between them.
MAX_GAP_SECONDS = 0.5
# Assumed before anything is seen, with the weight of one second: slow moments that begin once in
# a second and last a fifth of one. A few seconds of reports outweigh it.
FIRST_ONSETS_PER_SECOND = 1.0
FIRST_SPELL_SECONDS = 0.2
FIRST_WEIGHT_SECONDS = 1.0
FIRST_SLOW_FACTOR = 4.0
FACTOR_SMOOTHING = 0.1


class SlowPeriods:
    """Rates at which a backend server turns slow and recovers.

    Work that begins in a slow moment keeps its pace to the end, so what counts is the
    speed at the start. A report is worth renewing when the chance is large that it holds
    no more; that depends on how often this backend server changes, not on age alone.
    """

    def __init__(self) -> None:
        self._seen_at = -math.inf
        self._seconds_by_slow = {
            False: FIRST_WEIGHT_SECONDS,
            True: FIRST_SPELL_SECONDS * FIRST_WEIGHT_SECONDS,
        }
        self._changes_by_slow = {
            False: FIRST_ONSETS_PER_SECOND * FIRST_WEIGHT_SECONDS,
            True: FIRST_WEIGHT_SECONDS,
        }
        self._base_before = FIRST_BASE
        self._base_lately = FIRST_BASE
        self._base_begun = -math.inf
        self.slowdown = 1.0
        self.since = -math.inf
        self.slow_factor = FIRST_SLOW_FACTOR

    @property
    def is_slow(self) -> bool:
        """Return whether the last report told of a slow moment."""
        return self.slowdown >= SLOW_FACTOR * self.base

    @property
    def base(self) -> float:
        """Return the slowdown outside slow moments; at most the last report."""
        return min(self._base_before, self._base_lately, self.slowdown)

    def reported(self, slowdown: float, now: float) -> None:
        """Take in a report that is true at ``now``."""
        was_slow = self.is_slow
        self.slowdown = slowdown
        self._note_base(slowdown, now)
        changed = self.is_slow is not was_slow
        gap = now - self._seen_at
        if gap <= MAX_GAP_SECONDS:
            self._learn(was_slow, gap, changed=changed)
        if changed or gap > MAX_GAP_SECONDS:
            self.since = now
        if self.is_slow:
            self.slow_factor += FACTOR_SMOOTHING * (slowdown / self.base - self.slow_factor)
        self._seen_at = now

    def age(self, now: float) -> float:
        """Return the seconds since the last report."""
        return now - self._seen_at

    def chance_of_change(self, now: float) -> float:
        """Return how likely the last report holds no more, 0 to 1."""
        return 1.0 - math.exp(-self._rate(slow=self.is_slow) * self.age(now))

    @property
    def spell_seconds(self) -> float:
        """Return how long a slow moment lasts on average."""
        return 1.0 / self._rate(slow=True)

    def _note_base(self, slowdown: float, now: float) -> None:
        if now - self._base_begun > BASE_SECONDS:
            self._base_before = self._base_lately
            self._base_lately = slowdown
            self._base_begun = now
        self._base_lately = min(self._base_lately, slowdown)

    def _rate(self, *, slow: bool) -> float:
        return self._changes_by_slow[slow] / self._seconds_by_slow[slow]

    def _learn(self, was_slow: bool, seconds: float, *, changed: bool) -> None:
        kept = math.exp(-seconds / MEMORY_SECONDS)
        self._seconds_by_slow[was_slow] = kept * self._seconds_by_slow[was_slow] + seconds
        self._changes_by_slow[was_slow] = kept * self._changes_by_slow[was_slow] + changed
