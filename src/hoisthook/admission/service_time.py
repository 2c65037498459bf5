"""Smoothed service time of requests at one backend server."""

from __future__ import annotations

WARM_COUNT = 20
SMOOTHING = 0.05
OUTLIER_FACTOR = 4.0


class ServiceTime:
    """Exponentially smoothed service time that is robust against short stalls.

    A sample counts as at most `OUTLIER_FACTOR` times the current value, so that
    a stall of a few dozen requests hardly changes it, while a lasting change is
    learned within a few hundred.

    Parameters
    ----------
    warm_count : int
        Number of samples from which the value is known.

    Attributes
    ----------
    typical : float
        Smoothed service time, in seconds.
    deviation : float
        Smoothed mean deviation from it, in seconds.
    """

    def __init__(self, warm_count: int = WARM_COUNT) -> None:
        self._warm_count = warm_count
        self.typical = 0.0
        self.deviation = 0.0
        self._count = 0

    @property
    def known(self) -> bool:
        """Return whether there are enough samples to rely on."""
        return self._count >= self._warm_count

    def add(self, seconds: float) -> None:
        """Add the service time of one request."""
        self._count += 1
        if self._count == 1:
            self.typical = seconds
            return
        bounded = min(seconds, OUTLIER_FACTOR * self.typical + 1e-6)
        weight = max(SMOOTHING, 1.0 / self._count)
        self.deviation += weight * (abs(bounded - self.typical) - self.deviation)
        self.typical += weight * (bounded - self.typical)
