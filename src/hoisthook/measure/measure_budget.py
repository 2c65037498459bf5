"""Rate limit for reads of a backend server's load endpoint."""

from __future__ import annotations


class MeasureBudget:
    """Allows at most ``rate`` reads a second, without bursts.

    The first read is allowed one full interval after the start, so that a node
    that restarts repeatedly reads no more often than one that does not: two
    reads of a backend server are always at least one interval apart, also
    across a restart of its node.

    Parameters
    ----------
    rate : float
        Reads per second; 0 forbids them.
    now : float
        Time of the start, in seconds on the caller's clock.

    Attributes
    ----------
    spent : int
        Number of reads so far.
    bytes_spent : int
        Bytes sent and received by them.
    seconds_spent : float
        Their total duration.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self._last_read_at = now
        self.spent = 0
        self.bytes_spent = 0
        self.seconds_spent = 0.0

    def take(self, now: float) -> bool:
        """Return whether a read may start now; count it if so."""
        if self.rate <= 0 or now - self._last_read_at < 1.0 / self.rate:
            return False
        self._last_read_at = now
        self.spent += 1
        return True

    def account(self, size: int, seconds: float) -> None:
        """Add the cost of one read: the bytes sent and received, and its duration."""
        self.bytes_spent += size
        self.seconds_spent += seconds
