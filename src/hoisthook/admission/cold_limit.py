"""Rate limit for requests to a backend server that is cold or may be cold."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.admission.send_log import SendLog

# Length of the sliding window. The limit applies to requests that arrive within any one second;
# the remaining 0.1 s covers the transit time from the node to the server on the same instance.
WINDOW_SECONDS = 1.1
# Age after which the health of a cold server is read again while the limit rejects requests: a
# delayed announcement may report a cold start that is over.
COLD_REPORT_SECONDS = 0.25
# Minimum time from the end of a node process until its successor serves: loading the program alone
# takes 0.2 s of processor time.
RESTART_SECONDS = 0.2
UNLIMITED = 1 << 30


class ColdLimit:
    """Limits the requests sent to a backend server in any second while it is cold.

    Load pattern: all backend servers of a data centre restart together and are cold while more
    requests are queued than they can serve; a cold server that gets well over its rate crashes.

    A server may restart unobserved and turn cold at any time. The limit therefore applies to the
    requests sent since it was last observed to be warm: up to the limit they are sent at once,
    beyond it only after a read of its health that began later than the first of them. There is no
    limit if operators set no rate.

    What the node's predecessor process sent is unknown, so the first window of a process counts as
    full, unless the server turned cold after the predecessor's end. Without that exception, 24
    nodes rejected 711 requests in one second after a restart of all instances with their servers.

    Parameters
    ----------
    now : float
        Start of the process, in seconds on the node's clock.
    sends : SendLog
        Requests sent to the server.
    """

    def __init__(self, now: float, sends: SendLog) -> None:
        self._limit: int | None = None
        self._cold_seconds = 0.0
        self._started_at = now
        self._cold_since = -math.inf
        self.sends = sends
        self._cold_until = -math.inf
        self._observed_at = -math.inf

    @property
    def limit(self) -> int | None:
        """Return how many requests may be sent in a second; None if unlimited."""
        return self._limit

    def set_rate_limit(self, limit: int | None, cold_seconds: float = 0.0) -> None:
        """Set the limit.

        Parameters
        ----------
        limit : int or None
            Requests that may be sent in a second; None for no limit.
        cold_seconds : float
            How long a server is cold after its start, in seconds; 0 if unknown.
        """
        self._limit = limit
        self._cold_seconds = cold_seconds

    def observed(self, remaining: float, requested_at: float, now: float) -> None:
        """Record how much longer the server is cold according to a health read.

        Parameters
        ----------
        remaining : float
            Seconds until the server is warm; 0 if it is warm.
        requested_at : float
            When the read began. The server may have turned cold since.
        now : float
            When the answer arrived.
        """
        self._observed_at = requested_at
        self._cold_until = now + remaining if remaining > 0 else -math.inf
        is_start_known = 0.0 < remaining <= self._cold_seconds
        # A lower bound: `remaining` may date from the start of the read.
        self._cold_since = (
            requested_at + remaining - self._cold_seconds if is_start_known else -math.inf
        )

    def announced(self, remaining: float, now: float) -> None:
        """Record how much longer the server is cold according to an announcement.

        A delayed announcement may be out of date, so it can only show that the server is cold,
        never that it is warm.
        """
        if remaining > 0:
            self._cold_until = max(self._cold_until, now + remaining)

    def forget(self) -> None:
        """Discard all observations, because another incarnation may run now."""
        self._observed_at = -math.inf
        self._cold_until = -math.inf
        self._cold_since = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether the server is known to be cold."""
        return now < self._cold_until

    def available(self, now: float) -> int:
        """Return how many more requests may be sent now."""
        if self._limit is None:
            return UNLIMITED
        available = self._limit - self._used(now)
        if not self.is_cold(now):
            available = max(
                available, self._limit - self.sends.reserved - self._sent_since(self._observed_at)
            )
        return max(0, available)

    def is_read_worthwhile(self, now: float) -> bool:
        """Return whether reading the server's health could allow more requests."""
        if self._limit is None or self.available(now) > 0:
            return False
        return not self.is_cold(now) or now - self._observed_at > COLD_REPORT_SECONDS

    def seconds_until_available(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a request with ``ahead`` others before it may be sent."""
        missing = ahead + 1 - self.available(now)
        if self._limit is None or missing <= 0:
            return 0.0
        available_at = self.sends.expiry(missing, now, WINDOW_SECONDS)
        if self._counts_predecessor(now):
            available_at = max(available_at, self._started_at + WINDOW_SECONDS)
        if self.is_cold(now):
            available_at = min(available_at, self._cold_until)
        return max(0.0, available_at - now)

    def _used(self, now: float) -> int:
        predecessor_sent = self._limit or 0 if self._counts_predecessor(now) else 0
        return self.sends.used(now, WINDOW_SECONDS) + predecessor_sent

    def _counts_predecessor(self, now: float) -> bool:
        """Return whether requests sent by the predecessor process may still count."""
        predecessor_exit = self._started_at - RESTART_SECONDS
        return now < self._started_at + WINDOW_SECONDS and self._cold_since < predecessor_exit

    def _sent_since(self, since: float) -> int:
        if since < self._started_at:
            # Not observed by this process, so the predecessor may have used the whole limit.
            return self._limit or 0
        return self.sends.sent_since(since)
