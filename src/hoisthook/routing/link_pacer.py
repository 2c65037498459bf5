"""When the pieces of large answers go out over the instance's link."""

from __future__ import annotations

# Of the link this share is for large answers, so that what is sent beside them finds it free.
PACED_SHARE = 0.8
# Answers up to this size go out at once; larger ones in pieces as large as half of it.
AT_ONCE_BYTES = 16 * 1024
PIECE_BYTES = 8 * 1024
# Shorter waits are left out: a timer costs as much.
MIN_WAIT_SECONDS = 0.001
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class LinkPacer:
    """Spreads large answers over time, so that short ones do not wait behind them.

    Load pattern: several answers of up to half a megabyte leave over a link of 12 Mbit/s at once.
    Handed to the system whole, they keep the link for hundreds of milliseconds, and the word that
    a request is admitted, which is waited for a tenth of a second, arrives after the node that
    sent it has been given up: requests that run are answered as lost.

    Parameters
    ----------
    mbps : float
        What the link carries, in megabits a second; 0 where that is not known: nothing is spread.
    """

    def __init__(self, mbps: float) -> None:
        self._bytes_per_second = PACED_SHARE * mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._free_at = 0.0

    @property
    def piece_bytes(self) -> int:
        """Return the size of a piece."""
        return PIECE_BYTES

    def spreads(self, size: int) -> bool:
        """Return whether an answer of some size goes out in pieces."""
        return self._bytes_per_second > 0 and size > AT_ONCE_BYTES

    def sent(self, size: int, now: float) -> None:
        """Note an answer that went out at once; the pieces of others make room for it."""
        self.wait(size, now)

    def wait(self, size: int, now: float) -> float:
        """Take the next place for a piece; return the seconds until it may go out.

        Answers that go out together take turns piece by piece.
        """
        if self._bytes_per_second <= 0:
            return 0.0
        start = max(now, self._free_at)
        self._free_at = start + size / self._bytes_per_second
        seconds = start - now
        return seconds if seconds >= MIN_WAIT_SECONDS else 0.0
