"""A hard bound on reads of a backend server's load endpoint."""

from __future__ import annotations


class MeasureBudget:
    """Lets at most ``rate`` reads a second through, with no burst.

    The first read is allowed only a whole interval after the start, so that a
    node restarted over and over spends no more than one that stays: between two
    reads beside one backend server lies a whole interval, or a restart and a
    whole interval.

    Parameters
    ----------
    rate : float
        Reads per second; 0 forbids them.
    now : float
        Seconds on the caller's clock, at the start.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self._last_read_at = now
        self.spent = 0
        self.bytes_spent = 0
        self.seconds_spent = 0.0

    def take(self, now: float) -> bool:
        """Return whether a read may start now, and count it if so."""
        if self.rate <= 0 or now - self._last_read_at < 1.0 / self.rate:
            return False
        self._last_read_at = now
        self.spent += 1
        return True

    def account(self, size: int, seconds: float) -> None:
        """Add the cost of one read: bytes both ways and its duration."""
        self.bytes_spent += size
        self.seconds_spent += seconds
