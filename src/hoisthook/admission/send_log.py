"""Requests sent to the backend server, from which limits on their rate are enforced."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from collections import deque

# Longest window of any limit.
RETENTION_SECONDS = 2.5


class SendLog:
    """Times at which requests were sent recently, and the number admitted and not sent yet.

    All requests for a backend server pass through its node, so this covers those of all ingress
    nodes, and repeats and calls between services too.
    """

    def __init__(self) -> None:
        self._sent: deque[float] = deque()
        self.reserved = 0

    def reserve(self) -> None:
        """Count a request that is admitted and not sent yet."""
        self.reserved += 1

    def release(self) -> None:
        """Stop counting an admitted request that will not be sent."""
        self.reserved -= 1

    def sent(self, now: float) -> None:
        """Record that an admitted request is sent."""
        self.reserved -= 1
        while self._sent and self._sent[0] <= now - RETENTION_SECONDS:
            self._sent.popleft()
        self._sent.append(now)

    def sent_since(self, since: float) -> int:
        """Return how many requests were sent at a time or later."""
        return len(self._sent) - bisect_left(self._sent, since)

    def used(self, now: float, window: float) -> int:
        """Return how many requests are reserved or were sent within a window that ends now."""
        return self.reserved + self._sent_within(now, window)

    def expiry(self, count: int, now: float, window: float) -> float:
        """Return when ``count`` requests of the window have left it.

        Requests that are not sent yet are assumed to be sent now.
        """
        within = self._sent_within(now, window)
        if count > within:
            return now + window
        return self._sent[len(self._sent) - within + count - 1] + window

    def _sent_within(self, now: float, window: float) -> int:
        return len(self._sent) - bisect_right(self._sent, now - window)
