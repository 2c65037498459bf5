"""Tokens that accrue with time up to a bound; each admits one request."""

from __future__ import annotations

# What many small additions leave short of a whole token by rounding.
ROUNDING = 1e-9


class TokenBucket:
    """A level that grows at a rate up to a depth.

    Parameters
    ----------
    rate : float
        Tokens a second.
    depth : float
        Tokens held at most.
    level : float
        Tokens held at first.
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, rate: float, depth: float, level: float, now: float) -> None:
        self.rate = rate
        self.depth = depth
        self._level = min(level, depth)
        self._updated_at = now

    def level(self, now: float) -> float:
        """Return the tokens held at a moment; below 0 where more are owed."""
        accrued = self.rate * max(0.0, now - self._updated_at)
        return max(self._level, min(self.depth, self._level + accrued))

    def take(self, tokens: float, now: float) -> None:
        """Take tokens that are there."""
        self._set(self.level(now) - tokens, now)

    def put_back(self, tokens: float, now: float) -> None:
        """Put in tokens that were taken here and not used; what exceeds the depth is lost."""
        self._set(min(self.depth, self.level(now) + tokens), now)

    def seconds_to(self, tokens: float, now: float) -> float:
        """Return the seconds until so many are there."""
        missing = tokens - self.level(now)
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def resize(self, rate: float, depth: float, now: float) -> None:
        """Change rate and depth; what stands above the new depth is lost."""
        if (rate, depth) == (self.rate, self.depth):
            return
        self._set(min(depth, self.level(now)), now)
        self.rate = rate
        self.depth = depth

    def _set(self, level: float, now: float) -> None:
        self._level = level
        self._updated_at = max(now, self._updated_at)
