"""A budget of extra tries over a sliding window."""

from __future__ import annotations

from collections import deque


class WindowedRetryBudget:
    """Extra tries within any window: a share of its requests and a fixed number.

    Parameters
    ----------
    ratio : float
        Extra tries per request.
    window : float
        Seconds.
    extra : float
        Extra tries that are always allowed in a window.
    """

    def __init__(self, ratio: float, window: float, extra: float) -> None:
        self._ratio = ratio
        self._window = window
        self.extra = extra
        self._requests: deque[float] = deque()
        self._tries: deque[float] = deque()
        self.denied = 0

    def request(self, now: float) -> None:
        """Note a request's first try."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: float) -> bool:
        """Return whether an extra try may be made, and count it if so."""
        self._expire(now)
        allowed = self._ratio * len(self._requests) + self.extra
        if len(self._tries) + 1 > allowed:
            self.denied += 1
            return False
        self._tries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._tries):
            while times and times[0] < now - self._window:
                times.popleft()
