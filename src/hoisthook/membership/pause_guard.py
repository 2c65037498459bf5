"""Notices that this process did not run for a while."""

from __future__ import annotations

TICK_SECONDS = 0.1
PAUSE_SECONDS = 1.0
ALONE_SECONDS = 3.0


class PauseGuard:
    """Keeps a node that was paused from acting on what it believed before.

    The loop ticks every `TICK_SECONDS`. A gap of `PAUSE_SECONDS` or more, seen
    by a tick or by a request that comes first, means that the process was
    frozen; it is stale until a peer or the log has told it what it missed, in a
    contact begun after it woke. Where neither answers, it goes on alone after
    `ALONE_SECONDS`: what is truly admitted is decided beside the slots anyway.

    Parameters
    ----------
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        self._last = now
        self._woke_at = now
        self.stale = False
        self.pauses = 0

    def check(self, now: float) -> bool:
        """Return whether the node is stale; any caller's look counts as a tick."""
        if now - self._last >= PAUSE_SECONDS:
            self.pauses += 1
            self.stale = True
            self._woke_at = now
        elif self.stale and now - self._woke_at >= ALONE_SECONDS:
            self.stale = False
        self._last = now
        return self.stale

    def contacted(self, begun: float) -> None:
        """Note that a contact begun at ``begun`` has brought the node up to date."""
        if begun >= self._woke_at:
            self.stale = False
