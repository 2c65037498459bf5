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
        self._at = now

    def level(self, now: float) -> float:
        """Return the tokens held at a moment."""
        grown = self.rate * max(0.0, now - self._at)
        # Tokens lent by others may stand above the depth; nothing accrues on top of them.
        return max(self._level, min(self.depth, self._level + grown))

    def take(self, wanted: float, now: float) -> float:
        """Take up to some number of tokens; return how many, in whole ones."""
        level = self.level(now)
        taken = float(int(min(wanted, level + ROUNDING)))
        self._set(level - taken, now)
        return taken

    def split(self, wanted: float, now: float) -> float:
        """Take up to some number of tokens, in fractions; return how many."""
        level = self.level(now)
        taken = min(wanted, level)
        self._set(level - taken, now)
        return taken

    def add(self, tokens: float, now: float) -> None:
        """Put in tokens that were taken from another bucket."""
        self._set(self.level(now) + tokens, now)

    def put_back(self, tokens: float, now: float) -> None:
        """Put in tokens that were taken here and not used; what exceeds the depth is lost."""
        level = self.level(now)
        self._set(max(level, min(self.depth, level + tokens)), now)

    def seconds_to_one(self, now: float) -> float:
        """Return the seconds until there is a whole token."""
        missing = 1.0 - self.level(now)
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

    def empty_to(self, level: float, now: float) -> None:
        """Keep no more than some level."""
        self._set(min(level, self.level(now)), now)

    def _set(self, level: float, now: float) -> None:
        self._level = level
        self._at = max(now, self._at)
