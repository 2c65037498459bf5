"""Detects that this process was suspended for a while."""

from __future__ import annotations

TICK_SECONDS = 0.1
PAUSE_SECONDS = 1.0
RESUME_WITHOUT_CONTACT_SECONDS = 3.0


class PauseGuard:
    """Keeps a node that was paused from acting on outdated state.

    The loop calls `check` every `TICK_SECONDS`. A gap of `PAUSE_SECONDS` or more, noticed
    by a tick or by a request that comes first, means that the process was suspended. The
    node is then stale until an exchange with a peer or the log that began after it resumed
    has brought it up to date. Where neither answers, it resumes with the state it has after
    `RESUME_WITHOUT_CONTACT_SECONDS`: admission is decided at the node of the backend server
    in any case.

    Parameters
    ----------
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        self._last_check = now
        self._resumed_at = now
        self.stale = False
        self.pauses = 0

    def check(self, now: float) -> bool:
        """Return whether the node is stale; every call counts as a tick."""
        if now - self._last_check >= PAUSE_SECONDS:
            self.pauses += 1
            self.stale = True
            self._resumed_at = now
        elif self.stale and now - self._resumed_at >= RESUME_WITHOUT_CONTACT_SECONDS:
            self.stale = False
        self._last_check = now
        return self.stale

    def contacted(self, begun: float) -> None:
        """Record that an exchange begun at ``begun`` has brought the node up to date."""
        if begun >= self._resumed_at:
            self.stale = False
