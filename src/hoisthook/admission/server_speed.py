"""How long work takes at a backend server: now, and once a slow moment is over."""

from __future__ import annotations

from hoisthook.admission.slow_moments import SlowMoments

# Weight of one finished request. A server that has just started works at half its speed for a few
# seconds; with a dozen requests running this is learned within one round of them.
PACE_SMOOTHING = 0.12
# One request moves the pace by no more than its work could plausibly vary.
MIN_RATIO = 0.4
MAX_RATIO = 4.0
# A slow moment that has lasted this many times the average is a state, not a moment: waiting for
# its end would keep requests from being run at all.
SPELLS_WAITED_FOR = 4.0


class ServerSpeed:
    """The pace of one backend server, from its load reports and its finished requests.

    Reports tell of the slow moments of its instance. What they leave out, such as a cold
    start or a degraded server, shows in how long requests take beside what is usual.
    """

    def __init__(self) -> None:
        self.moments = SlowMoments()
        self.pace = 1.0

    @property
    def slowdown(self) -> float:
        """Return the factor that the last report told of."""
        return self.moments.slowdown

    def finished(self, work: float, seconds: float, slowdown: float) -> None:
        """Learn from a request that was to take ``work`` and began at some slowdown."""
        ratio = seconds / (work * max(1.0, slowdown))
        bounded = min(MAX_RATIO, max(MIN_RATIO, ratio))
        self.pace += PACE_SMOOTHING * (bounded - self.pace)

    def seconds_now(self, work: float) -> float:
        """Return how long work takes that begins at once."""
        return work * self.pace * max(1.0, self.slowdown)

    def seconds_usual(self, work: float) -> float:
        """Return how long work takes that begins outside a slow moment."""
        return work * self.pace * max(1.0, self.moments.base)

    def seconds_slow(self, work: float) -> float:
        """Return how long work takes that begins in a slow moment."""
        return self.seconds_usual(work) * self.moments.slow_factor

    def soon_faster(self, now: float) -> bool:
        """Return whether this is a slow moment whose end is worth waiting for."""
        lasted = now - self.moments.since
        return self.moments.is_slow and lasted < SPELLS_WAITED_FOR * self.moments.spell_seconds
