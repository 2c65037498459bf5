"""Count of the tokens granted within a sliding window."""

from __future__ import annotations

from collections import deque

# Tokens granted within this time share one entry, which bounds the number of entries of a window.
ENTRY_SECONDS = 0.02


class WindowCount:
    """Counts tokens in a sliding window.

    Parameters
    ----------
    seconds : float
        Length of the window.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._entries: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, count: float, now: float) -> None:
        """Add granted tokens."""
        if self._entries and now - self._entries[-1][0] < ENTRY_SECONDS:
            started_at, count_before = self._entries.pop()
            self._entries.append((started_at, count_before + count))
        else:
            self._entries.append((now, count))
        self._total += count

    def remove_one(self, granted_at: float) -> None:
        """Remove a token that was returned.

        If no entry has its exact time, a token of an earlier entry is removed, which would have
        left the window sooner.
        """
        for index in range(len(self._entries) - 1, -1, -1):
            started_at, entry_count = self._entries[index]
            if started_at <= granted_at and entry_count >= 1.0:
                self._entries[index] = (started_at, entry_count - 1.0)
                self._total -= 1.0
                return

    def total(self, now: float) -> float:
        """Return the tokens granted within the window that ends now."""
        # An entry expires by its latest possible token, so that no token leaves the window early.
        while self._entries and self._entries[0][0] <= now - self._seconds - ENTRY_SECONDS:
            self._total -= self._entries.popleft()[1]
        if not self._entries:
            self._total = 0.0
        return self._total

    def entries(self, now: float) -> list[tuple[float, float]]:
        """Return age in seconds and number of the tokens granted together, oldest first."""
        self.total(now)
        return [(now - granted_at, count) for granted_at, count in self._entries]

    def seconds_until_expiry(self, now: float) -> float:
        """Return the seconds until the oldest tokens leave the window."""
        self.total(now)
        if not self._entries:
            return 0.0
        return self._entries[0][0] + ENTRY_SECONDS + self._seconds - now
