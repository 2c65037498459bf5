"""Limit on the rate of requests that a backend server itself has named."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hoisthook.admission.cold_limit import RESTART_SECONDS
from hoisthook.admission.cold_limit import UNLIMITED

if TYPE_CHECKING:
    from hoisthook.admission.send_log import SendLog

# Longest window. A server that names hardly any requests, or none, still gets one in this time:
# only its answers tell that the limit is over.
MAX_WINDOW_SECONDS = 2.0


class RateLimit:
    """Limits the requests sent to a backend server while it names a rate in its answers.

    Load pattern: a server in need names a few requests a second while callers send it ten times as
    many, its node is restarted, and other servers of the service have room.

    The window is as long as the smallest whole number of requests takes at the rate, at least one
    second, so that the whole rate can be used. What the node's predecessor process sent is
    unknown, so the first window of a process counts as full.

    Parameters
    ----------
    now : float
        Start of the process, in seconds on the node's clock.
    sends : SendLog
        Requests sent to the server.
    """

    def __init__(self, now: float, sends: SendLog) -> None:
        self._started_at = now
        self._sends = sends
        self._count = 0
        self._window = 0.0
        self._per_second: float | None = None

    @property
    def per_second(self) -> float | None:
        """Return the rate that the server names; None if it names none."""
        return self._per_second

    def named(self, per_second: float) -> None:
        """Apply a rate in requests per second."""
        self._per_second = per_second
        self._count = max(1, math.ceil(per_second))
        self._window = MAX_WINDOW_SECONDS
        if per_second > 0:
            self._window = min(MAX_WINDOW_SECONDS, self._count / per_second)

    def ended(self) -> None:
        """Remove the limit."""
        self._per_second = None

    def available(self, now: float) -> int:
        """Return how many more requests may be sent now."""
        if self._per_second is None:
            return UNLIMITED
        if now < self._predecessor_counts_until:
            return 0
        return max(0, self._count - self._sends.used(now, self._window))

    def seconds_until_available(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a request with ``ahead`` others before it may be sent."""
        missing = ahead + 1 - self.available(now)
        if self._per_second is None or missing <= 0:
            return 0.0
        windows, rest = divmod(missing - 1, self._count)
        available_at = self._sends.expiry(rest + 1, now, self._window) + windows * self._window
        return max(available_at, self._predecessor_counts_until) - now

    @property
    def _predecessor_counts_until(self) -> float:
        return self._started_at + self._window - RESTART_SECONDS
