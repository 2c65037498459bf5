"""Detection of slow periods of a backend server, and how long a load report stays valid."""

from __future__ import annotations

import math

# A report counts as slow from this multiple of the base; less is normal variation.
SLOW_FACTOR = 1.7
# The base is the least slowdown reported within the last one to two windows of this length. A
# server that has just started is slower for some seconds, with slow periods on top. If its cold
# start counted as a slow period, it would be left idle until it is warm: in simulations with
# restarts that gave 0.680 of the possible request value, against 0.726 with the base.
BASE_WINDOW_SECONDS = 0.6
# Initial base: above the slowdown that a cold server reports, below that of a slow period.
FIRST_BASE = 2.2
# Time constant with which observations lose weight, since the other load on an instance changes.
MEMORY_SECONDS = 30.0
# Nothing is learned from the time between reports that are further apart than this.
MAX_GAP_SECONDS = 0.5
# Assumed before the first reports, with the weight of one second of observations: slow periods
# that begin once a second and last 0.2 s. A few seconds of reports outweigh this.
FIRST_ONSETS_PER_SECOND = 1.0
FIRST_SLOW_SECONDS = 0.2
FIRST_WEIGHT_SECONDS = 1.0
FIRST_SLOW_FACTOR = 4.0
FACTOR_SMOOTHING = 0.1


class SlowPeriods:
    """Detects slow periods and estimates the rates at which they begin and end.

    Work that starts in a slow period stays slow until it completes, so the speed at its start is
    decisive. A new report is worthwhile if the last one is probably out of date, which depends on
    how often this backend server changes between slow and normal, not on the report's age alone.

    Attributes
    ----------
    slowdown : float
        Slowdown factor in the last report; 1 at full speed.
    since : float
        When the current period, slow or normal, was first reported, in seconds on the node's clock.
    slow_factor : float
        Mean slowdown in slow periods relative to the base.
    """

    def __init__(self) -> None:
        self._reported_at = -math.inf
        self._seconds_by_slow = {
            False: FIRST_WEIGHT_SECONDS,
            True: FIRST_SLOW_SECONDS * FIRST_WEIGHT_SECONDS,
        }
        self._changes_by_slow = {
            False: FIRST_ONSETS_PER_SECOND * FIRST_WEIGHT_SECONDS,
            True: FIRST_WEIGHT_SECONDS,
        }
        self._previous_base = FIRST_BASE
        self._current_base = FIRST_BASE
        self._base_started_at = -math.inf
        self.slowdown = 1.0
        self.since = -math.inf
        self.slow_factor = FIRST_SLOW_FACTOR

    @property
    def is_slow(self) -> bool:
        """Return whether the last report shows a slow period."""
        return self.slowdown >= SLOW_FACTOR * self.base

    @property
    def base(self) -> float:
        """Return the slowdown outside slow periods; at most that of the last report."""
        return min(self._previous_base, self._current_base, self.slowdown)

    def reported(self, slowdown: float, now: float) -> None:
        """Record the slowdown factor of a report that is valid at ``now``."""
        was_slow = self.is_slow
        self.slowdown = slowdown
        self._update_base(slowdown, now)
        changed = self.is_slow is not was_slow
        gap = now - self._reported_at
        if gap <= MAX_GAP_SECONDS:
            self._learn(was_slow, gap, changed=changed)
        if changed or gap > MAX_GAP_SECONDS:
            self.since = now
        if self.is_slow:
            self.slow_factor += FACTOR_SMOOTHING * (slowdown / self.base - self.slow_factor)
        self._reported_at = now

    def age(self, now: float) -> float:
        """Return the seconds since the last report."""
        return now - self._reported_at

    def chance_of_change(self, now: float) -> float:
        """Return the probability, 0 to 1, that the last report is out of date."""
        return 1.0 - math.exp(-self._rate(slow=self.is_slow) * self.age(now))

    @property
    def mean_slow_seconds(self) -> float:
        """Return the mean duration of a slow period."""
        return 1.0 / self._rate(slow=True)

    def _update_base(self, slowdown: float, now: float) -> None:
        if now - self._base_started_at > BASE_WINDOW_SECONDS:
            self._previous_base = self._current_base
            self._current_base = slowdown
            self._base_started_at = now
        self._current_base = min(self._current_base, slowdown)

    def _rate(self, *, slow: bool) -> float:
        return self._changes_by_slow[slow] / self._seconds_by_slow[slow]

    def _learn(self, was_slow: bool, seconds: float, *, changed: bool) -> None:
        decay = math.exp(-seconds / MEMORY_SECONDS)
        self._seconds_by_slow[was_slow] = decay * self._seconds_by_slow[was_slow] + seconds
        self._changes_by_slow[was_slow] = decay * self._changes_by_slow[was_slow] + changed
