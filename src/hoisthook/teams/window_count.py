"""How many tokens were given out within the last seconds."""

from __future__ import annotations

from collections import deque

# Tokens given out within so short a time are kept as one entry, so that a window holds a bounded
# number of them whatever its rate.
ENTRY_SECONDS = 0.02


class WindowCount:
    """Counts in a window that slides.

    Parameters
    ----------
    seconds : float
        Its length.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._entries: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, count: float, now: float) -> None:
        """Count tokens that are given out."""
        if self._entries and now - self._entries[-1][0] < ENTRY_SECONDS:
            begun, before = self._entries.pop()
            self._entries.append((begun, before + count))
        else:
            self._entries.append((now, count))
        self._total += count

    def remove_one(self, given_at: float) -> None:
        """Count out a token that came back.

        Where its own moment is not known exactly, an earlier one goes in its place, which would
        have left the window sooner.
        """
        for place in range(len(self._entries) - 1, -1, -1):
            at, held = self._entries[place]
            if at <= given_at and held >= 1.0:
                self._entries[place] = (at, held - 1.0)
                self._total -= 1.0
                return

    def total(self, now: float) -> float:
        """Return the tokens given out within the window up to now."""
        # By the last moment that an entry may hold, so that none leaves the window too early.
        while self._entries and self._entries[0][0] <= now - self._seconds - ENTRY_SECONDS:
            self._total -= self._entries.popleft()[1]
        if not self._entries:
            self._total = 0.0
        return self._total

    def seconds_to_less(self, now: float) -> float:
        """Return the seconds until the oldest tokens leave the window."""
        self.total(now)
        if not self._entries:
            return 0.0
        return self._entries[0][0] + ENTRY_SECONDS + self._seconds - now
