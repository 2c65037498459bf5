"""Paces large answers on the network link of the instance."""

from __future__ import annotations

# Share of the link for large answers; the rest stays free for short messages.
PACED_SHARE = 0.8
# Answers up to this size are sent at once, larger ones in pieces.
MAX_UNPACED_BYTES = 16 * 1024
PIECE_BYTES = 8 * 1024
# Shorter waits are skipped: the timer itself costs as much.
MIN_WAIT_SECONDS = 0.001
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class LinkPacer:
    """Spreads large answers over time, so that short ones do not queue behind them.

    Load pattern: several answers of up to half a megabyte are sent over a link of 12 Mbit/s at
    once. Passed to the operating system in one piece each, they occupy the link for hundreds of
    milliseconds. The notice that a request is admitted then arrives after the ingress node, which
    waits a tenth of a second for it, has given up, and running requests are answered as lost.

    Parameters
    ----------
    mbps : float
        Capacity of the link in megabits per second; 0 if unknown, which turns pacing off.
    """

    def __init__(self, mbps: float) -> None:
        self._bytes_per_second = PACED_SHARE * mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._free_at = 0.0

    @property
    def piece_bytes(self) -> int:
        """Return the size of a piece in bytes."""
        return PIECE_BYTES

    def needs_pacing(self, size: int) -> bool:
        """Return whether an answer of ``size`` bytes is sent in pieces."""
        return self._bytes_per_second > 0 and size > MAX_UNPACED_BYTES

    def sent(self, size: int, now: float) -> None:
        """Record ``size`` bytes that were sent unpaced; they delay later pieces."""
        self.wait(size, now)

    def wait(self, size: int, now: float) -> float:
        """Reserve the link for a piece of ``size`` bytes; return the seconds until it may be sent.

        Answers that are sent at the same time alternate piece by piece.
        """
        if self._bytes_per_second <= 0:
            return 0.0
        start = max(now, self._free_at)
        self._free_at = start + size / self._bytes_per_second
        seconds = start - now
        return seconds if seconds >= MIN_WAIT_SECONDS else 0.0
