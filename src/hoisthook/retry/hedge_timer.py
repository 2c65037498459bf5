"""When a repeatable request is late enough to be hedged."""

from __future__ import annotations


QUANTILE = 0.97
START_SECONDS = 0.05
MIN_SECONDS = 0.002
STEP = 0.03


class HedgeTimer:
    """Follows a high quantile of the answer times by small steps.

    Each answer moves the estimate up by ``QUANTILE`` or down by ``1 - QUANTILE``
    of a step proportional to it, which settles where the two balance.
    """

    def __init__(self) -> None:
        self.delay = START_SECONDS

    def answered(self, seconds: float) -> None:
        """Learn from one answer time."""
        step = STEP * self.delay
        if seconds > self.delay:
            self.delay += step * QUANTILE
        else:
            self.delay -= step * (1.0 - QUANTILE)
        self.delay = max(MIN_SECONDS, self.delay)
