"""What each incarnation of the local backend server has said about itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import InstanceId
    from hoisthook.membership.backend_incarnation import BackendIncarnation
    from hoisthook.mesh.announcement import Announcement

# Incarnations that are remembered; more than start within a minute.
MAX_INCARNATIONS = 16


class BackendState(Enum):
    """States of the local backend server.

    ``UNIDENTIFIED``: an incarnation answers whose service is not known. ``FOREIGN``: it belongs to
    another service.
    """

    UNKNOWN = "unknown"
    UNIDENTIFIED = "unidentified"
    FOREIGN = "foreign"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class AnnouncementEffect(Enum):
    """What an announcement changes.

    ``APPLIED``: it is the newest of its incarnation. ``STALE``: a later one of the same incarnation
    is known, or its deregistration. ``SUPERSEDED``: a later incarnation under the same id is known,
    so that the announcement binds nobody.
    """

    APPLIED = "applied"
    STALE = "stale"
    SUPERSEDED = "superseded"


@dataclass(slots=True)
class IncarnationRecord:
    """What is known of one incarnation.

    Attributes
    ----------
    incarnation : BackendIncarnation
        The incarnation.
    announcement : Announcement or None
        The newest that it has sent.
    received_at : float
        When that arrived, in seconds on the node's clock of evidence.
    is_leaving : bool
        Whether its answers have said that it leaves.
    is_gone : bool
        Whether it has deregistered, which is final.
    is_unhealthy : bool
        Whether its last health check failed; it counts only without an announcement.
    """

    incarnation: BackendIncarnation
    announcement: Announcement | None = None
    received_at: float = 0.0
    is_leaving: bool = False
    is_gone: bool = False
    is_unhealthy: bool = False

    def state(self) -> BackendState:
        """Return the state that follows from what it has said, if its service is known."""
        if self.is_gone:
            return BackendState.GONE
        if self.is_leaving:
            return BackendState.DRAINING
        if self.announcement is not None:
            is_draining = self.announcement.draining
        else:
            is_draining = self.is_unhealthy
        return BackendState.DRAINING if is_draining else BackendState.READY

    def cold_seconds(self, now: float) -> float:
        """Return the remaining seconds of the cold start that it has announced."""
        if self.announcement is None:
            return 0.0
        return max(0.0, self.announcement.cold_seconds - (now - self.received_at))


class IncarnationRecords:
    """Records of the incarnations that ran at the address, whether they still run or not.

    A statement of an incarnation changes its own record only. An incarnation starts under its id
    with a new record, to which neither the sequence nor the drain of an earlier one applies.
    """

    def __init__(self) -> None:
        self._record_by_instance: dict[InstanceId, IncarnationRecord] = {}

    def of(self, incarnation: BackendIncarnation) -> IncarnationRecord | None:
        """Return the record of an incarnation; None if a later one under its id is known."""
        known = self._record_by_instance.get(incarnation.instance)
        if known is not None and known.incarnation.is_later_than(incarnation):
            return None
        if known is None or incarnation.is_later_than(known.incarnation):
            known = IncarnationRecord(incarnation)
        elif known.incarnation.born is None:
            # Known from its answers so far, which do not carry the time of its start.
            known.incarnation = incarnation
        self._keep(known)
        return known

    def find(self, instance: InstanceId) -> IncarnationRecord | None:
        """Return the record of the latest incarnation under an id; None if none is known."""
        return self._record_by_instance.get(instance)

    def announced(self, announcement: Announcement, now: float) -> AnnouncementEffect:
        """Apply an announcement to the record of its sender."""
        record = self.of(announcement.incarnation)
        if record is None:
            return AnnouncementEffect.SUPERSEDED
        newest = record.announcement
        if record.is_gone or (newest is not None and announcement.sequence <= newest.sequence):
            return AnnouncementEffect.STALE
        record.announcement = announcement
        record.received_at = now
        return AnnouncementEffect.APPLIED

    def _keep(self, record: IncarnationRecord) -> None:
        instance = record.incarnation.instance
        self._record_by_instance.pop(instance, None)
        self._record_by_instance[instance] = record
        while len(self._record_by_instance) > MAX_INCARNATIONS:
            del self._record_by_instance[next(iter(self._record_by_instance))]
