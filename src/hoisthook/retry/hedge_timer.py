"""When a repeatable request is late enough to be hedged."""

from __future__ import annotations

FACTOR = 2.0
START_SECONDS = 0.025
MIN_SECONDS = 0.002
STEP = 0.02


class HedgeTimer:
    """Hedges what takes `FACTOR` times the usual, the median of the answer times.

    A high quantile would follow the very slowness that hedging is meant for: where
    more requests are slow than the quantile leaves out, it learns to wait for them.
    Each answer moves the median's estimate up or down by a step proportional to it.
    """

    def __init__(self) -> None:
        self._median = START_SECONDS

    @property
    def delay(self) -> float:
        """Return the seconds after which to hedge."""
        return max(MIN_SECONDS, FACTOR * self._median)

    def answered(self, seconds: float) -> None:
        """Learn from one answer time."""
        step = STEP * self._median
        self._median += step if seconds > self._median else -step
