"""Decides whether a ready announcement is believed by a process that has just started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.mesh.incarnation_records import BackendState

if TYPE_CHECKING:
    from hoisthook.mesh.announcement import Announcement
    from hoisthook.mesh.observed_backend import ObservedBackend

# Announcements are seconds late at most: one that arrives this long after the start was sent later.
MAX_ANNOUNCEMENT_DELAY_SECONDS = 10.0


class AnnouncementClaim:
    """Holds back a ready announcement that may have been sent before the process started.

    Until the withdrawals of earlier processes are known, a late announcement looks like a current
    one. A healthy answer of the same incarnation is newer than any of these withdrawals and
    confirms it.

    Parameters
    ----------
    observed_backend : ObservedBackend
        State that healthy answers have shown.
    started_at : float
        Start of the process, in seconds on the node's clock.
    """

    def __init__(self, observed_backend: ObservedBackend, started_at: float) -> None:
        self._observed_backend = observed_backend
        self._believes_all_from = started_at + MAX_ANNOUNCEMENT_DELAY_SECONDS
        self._held: Announcement | None = None
        self._is_history_known = False

    def holds_back(self, announcement: Announcement, now: float) -> bool:
        """Return whether an announcement must be confirmed; if so, keep it until it is."""
        if (
            self._is_history_known
            or now >= self._believes_all_from
            or announcement.draining
            or self._is_confirmed(announcement)
        ):
            self._held = None
            return False
        self._held = announcement
        return True

    def history_known(self) -> None:
        """Record that the withdrawals of earlier processes are known."""
        self._is_history_known = True

    def take_confirmed(self) -> Announcement | None:
        """Return the announcement held back, once, if it has been confirmed; else None."""
        held = self._held
        if held is None or not (self._is_history_known or self._is_confirmed(held)):
            return None
        self._held = None
        return held

    def _is_confirmed(self, announcement: Announcement) -> bool:
        observed = self._observed_backend
        return observed.state is BackendState.READY and observed.instance == announcement.instance
