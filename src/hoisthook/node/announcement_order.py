"""Order of the announcements of a backend server that states its uptime."""

from __future__ import annotations

import math


class AnnouncementOrder:
    """Recognises announcements that arrive after one that was sent later.

    The uptime grows with each announcement of a run. A smaller one is late, unless the backend
    server may have started again since: a new run starts after the last announcement of the former
    one was sent. Servers that state no uptime are always believed.
    """

    def __init__(self) -> None:
        self._backend_server = ""
        self._started_at = -math.inf
        self._uptime = 0.0

    def is_late(self, backend_server: str, uptime: float, now: float) -> bool:
        """Return whether an announcement is older than the last one; if not, it is the last one.

        Parameters
        ----------
        backend_server : str
            Id of the backend server.
        uptime : float
            Seconds since its start, as announced; 0 if it does not state them.
        now : float
            Seconds on the node's clock.
        """
        started_at = now - uptime
        last_sent_at = self._started_at + self._uptime
        is_same_server = backend_server == self._backend_server
        if is_same_server and uptime < self._uptime and started_at < last_sent_at:
            return True
        is_same_run = is_same_server and started_at < last_sent_at
        self._started_at = min(self._started_at, started_at) if is_same_run else started_at
        self._backend_server = backend_server
        self._uptime = uptime
        return False
