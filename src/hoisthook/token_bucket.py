"""Token bucket rate limiter; each token admits one request."""

from __future__ import annotations

# Tolerance for comparisons of levels: many small additions may fall this far short by rounding.
ROUNDING = 1e-9


class TokenBucket:
    """A level of tokens that grows at a rate up to a depth; it may be negative.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    depth : float
        Maximum number of tokens.
    level : float
        Initial number of tokens.
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, rate: float, depth: float, level: float, now: float) -> None:
        self.rate = rate
        self.depth = depth
        self._level = min(level, depth)
        self._updated_at = now

    def level(self, now: float) -> float:
        """Return the tokens held at ``now``; negative if more were taken than held."""
        accrued = self.rate * max(0.0, now - self._updated_at)
        return max(self._level, min(self.depth, self._level + accrued))

    def take(self, tokens: float, now: float) -> None:
        """Take tokens; the level becomes negative if they are not available."""
        self._set(self.level(now) - tokens, now)

    def put_back(self, tokens: float, now: float) -> None:
        """Add tokens, such as unused ones; those that exceed the depth are discarded."""
        self._set(min(self.depth, self.level(now) + tokens), now)

    def seconds_to(self, tokens: float, now: float) -> float:
        """Return the seconds until ``tokens`` are available; infinite if the rate is 0."""
        missing = tokens - self.level(now)
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def resize(self, rate: float, depth: float, now: float) -> None:
        """Change rate and depth; tokens above the new depth are discarded."""
        if (rate, depth) == (self.rate, self.depth):
            return
        self._set(min(depth, self.level(now)), now)
        self.rate = rate
        self.depth = depth

    def _set(self, level: float, now: float) -> None:
        self._level = level
        self._updated_at = max(now, self._updated_at)
