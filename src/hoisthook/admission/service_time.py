"""What a request usually takes at one backend server."""

from __future__ import annotations

WARM_COUNT = 20
SMOOTHING = 0.05
OUTLIER_FACTOR = 4.0


class ServiceTime:
    """A smoothed service time that a short stall moves but little.

    A sample counts at most as `OUTLIER_FACTOR` times the present value, so that
    a stall of some dozen requests does not teach that stalling is usual, while a
    lasting change is learned within some hundred.

    Parameters
    ----------
    warm_count : int
        Samples before which nothing is known.
    """

    def __init__(self, warm_count: int = WARM_COUNT) -> None:
        self._warm_count = warm_count
        self.typical = 0.0
        self.deviation = 0.0
        self._count = 0

    @property
    def known(self) -> bool:
        """Return whether enough samples have come in to judge by."""
        return self._count >= self._warm_count

    def add(self, seconds: float) -> None:
        """Learn from one request."""
        self._count += 1
        if self._count == 1:
            self.typical = seconds
            return
        bounded = min(seconds, OUTLIER_FACTOR * self.typical + 1e-6)
        weight = max(SMOOTHING, 1.0 / self._count)
        self.deviation += weight * (abs(bounded - self.typical) - self.deviation)
        self.typical += weight * (bounded - self.typical)
