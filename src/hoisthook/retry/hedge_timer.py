"""The delay after which a repeatable request is hedged."""

from __future__ import annotations

MEDIAN_FACTOR = 2.0
INITIAL_MEDIAN_SECONDS = 0.025
MIN_DELAY_SECONDS = 0.002
STEP_SHARE = 0.02


class HedgeTimer:
    """Hedges requests that take longer than `MEDIAN_FACTOR` times the median answer time.

    A high quantile would follow the slow requests that hedging is meant for: if more
    requests are slow than the quantile leaves out, the delay grows to their latency.
    Each answer moves the estimated median up or down by `STEP_SHARE` of its value.
    """

    def __init__(self) -> None:
        self._median = INITIAL_MEDIAN_SECONDS

    @property
    def delay(self) -> float:
        """Return the hedging delay in seconds."""
        return max(MIN_DELAY_SECONDS, MEDIAN_FACTOR * self._median)

    def answered(self, seconds: float) -> None:
        """Update the median with one answer time in seconds."""
        step = STEP_SHARE * self._median
        self._median += step if seconds > self._median else -step
