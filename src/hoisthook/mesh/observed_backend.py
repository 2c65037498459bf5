"""State of the local backend server as its node observes it."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from hoisthook.membership.backend_incarnation import BackendIncarnation
from hoisthook.mesh.announcement import Announcement
from hoisthook.mesh.incarnation_records import AnnouncementEffect
from hoisthook.mesh.incarnation_records import BackendState
from hoisthook.mesh.incarnation_records import IncarnationRecords
from hoisthook.mesh.withdrawals import Withdrawals

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from hoisthook.identity import InstanceId
    from hoisthook.mesh.incarnation_records import IncarnationRecord
    from hoisthook.mesh.service_evidence import ServiceEvidence
    from hoisthook.mesh.withdrawal import Withdrawal
    from hoisthook.port.backend_wire import BackendLoad
    from hoisthook.port.event_log import EventLog

# Number of recent answers over which the share of failures is computed.
RECENT_ANSWERS = 12
# With fewer answers the share of failures is taken to be 0.
MIN_JUDGED_ANSWERS = 4
# Consecutive requests dropped as soon as they were sent, after which the backend server counts as
# unavailable. One or two may be due to a stale idle connection or a briefly overloaded server.
MAX_DROPPED_IN_A_ROW = 3
# Time for which it is then sent no requests, doubled up to the maximum as long as the first request
# afterwards is dropped too. A restarting server is available again within about a second.
INITIAL_DROPPED_BACKOFF_SECONDS = 0.15
MAX_DROPPED_BACKOFF_SECONDS = 0.6


class ObservedBackend:
    """State, incarnation, slots and recent failures of the local backend server.

    Answers show which incarnation runs; an announcement says what its sender was when it sent it,
    which may have been long ago. So an announcement changes the record of its own sender, and
    decides which incarnation is the current one only as long as no answer has shown it.

    Parameters
    ----------
    evidence : ServiceEvidence
        Which incarnations belong to the service of this node.
    log : EventLog
        Receives a record of each change of state or incarnation.

    Attributes
    ----------
    evidence : ServiceEvidence
        Which incarnations belong to the service of this node.
    withdrawals : Withdrawals
        Withdrawals in force.
    state : BackendState
        Last known state.
    slots : int
        Number of requests that it can run at once, as last reported; 0 until it is known.
    unavailable_until : float
        Time until which it is sent no requests, on the node's clock.
    has_answered : bool
        Whether it has answered this process, so that what its answers say is known.
    """

    def __init__(self, evidence: ServiceEvidence, log: EventLog) -> None:
        self.evidence = evidence
        self.withdrawals = Withdrawals()
        self._log = log
        self._records = IncarnationRecords()
        self._current: IncarnationRecord | None = None
        # Whether the current incarnation has answered since it became the current one.
        self._is_shown = False
        # Time from which an exchange must have been sent to show another incarnation.
        self._identified_at = -math.inf
        self._is_leaving_unnamed = False
        self._on_replaced: list[Callable[[], None]] = []
        self._on_identified: list[Callable[[], None]] = []
        self._on_unreachable: list[Callable[[], None]] = []
        self._on_contradicted: list[Callable[[InstanceId], None]] = []
        self._recent_failures: deque[bool] = deque(maxlen=RECENT_ANSWERS)
        self._dropped_in_a_row = 0
        self._dropped_backoff = INITIAL_DROPPED_BACKOFF_SECONDS
        self.has_answered = False
        self.state = BackendState.UNKNOWN
        self.slots = 0
        self.unavailable_until = -math.inf

    @property
    def instance(self) -> InstanceId | None:
        """Return the id of the current incarnation; None if none is known."""
        return None if self._current is None else self._current.incarnation.instance

    @property
    def identified_instance(self) -> InstanceId | None:
        """Return the current incarnation if it is known to belong to the service of this node."""
        instance = self.instance
        is_identified = instance is not None and self.evidence.shows_service(instance)
        return instance if is_identified else None

    @property
    def takes_work(self) -> bool:
        """Return whether new requests may be sent to it."""
        return self.state in (BackendState.UNKNOWN, BackendState.READY)

    @property
    def failing(self) -> float:
        """Return the share of recent answers that failed; 0 if there are too few."""
        if len(self._recent_failures) < MIN_JUDGED_ANSWERS:
            return 0.0
        return sum(self._recent_failures) / len(self._recent_failures)

    @property
    def announced_cold_seconds(self) -> float:
        """Return the remaining seconds of the cold start that the current incarnation announced."""
        return 0.0 if self._current is None else self._current.cold_seconds(self.evidence.now())

    def on_replaced(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when an incarnation becomes the current one."""
        self._on_replaced.append(listener)

    def on_identified(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when the current incarnation is identified."""
        self._on_identified.append(listener)

    def on_unreachable(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when no request can be sent to it."""
        self._on_unreachable.append(listener)

    def on_contradicted(self, listener: Callable[[InstanceId], None]) -> None:
        """Register ``listener`` for announcements of an incarnation other than the one shown.

        Either the incarnation that announces itself has replaced it, or its announcement is late.
        """
        self._on_contradicted.append(listener)

    def announced(self, announcement: Announcement) -> AnnouncementEffect:
        """Apply an announcement to its sender, and follow it unless another one is shown to run."""
        self.evidence.announced(announcement.instance)
        effect = self._records.announced(announcement, self.evidence.now())
        record = self._records.find(announcement.instance)
        if effect is not AnnouncementEffect.APPLIED or record is None:
            return effect
        if record is self._current:
            self.slots = announcement.slots
            self._update_state(sequence=announcement.sequence)
        elif self._follows(record):
            self._replace(record, "announced")
        else:
            for listener in self._on_contradicted:
                listener(announcement.instance)
        if record.state() is BackendState.READY:
            self.withdrawals.remove(announcement.instance)
        else:
            sequence = None if record.is_leaving else announcement.sequence
            self.withdrawals.add(record.incarnation, sequence)
        return effect

    def announced_elsewhere(self, instance: InstanceId) -> None:
        """Record that an incarnation announces a service other than that of this node."""
        self.evidence.announced_elsewhere(instance)
        if instance == self.instance:
            self._update_state()

    def recorded(self, instance: InstanceId) -> None:
        """Apply that an earlier process of this node has identified an incarnation."""
        self.evidence.recorded(instance)
        self.service_shown(instance)

    def service_shown(self, instance: InstanceId) -> None:
        """Apply new evidence for the service of an incarnation, if it is the current one."""
        if instance == self.instance and self.state is BackendState.UNIDENTIFIED:
            self._update_state()
            self._notify_identified()

    def deregistered(self, incarnation: BackendIncarnation) -> bool:
        """Record the deregistration of an incarnation; return False if a later one is known."""
        record = self._records.of(incarnation)
        if record is None:
            return False
        record.is_gone = True
        if self._current is None or record is self._current:
            self._current = record
            self._update_state()
        self.withdrawals.add(record.incarnation)
        return True

    def restore(self, withdrawals: Iterable[Withdrawal]) -> None:
        """Apply withdrawals that earlier processes of this node were told of, oldest first.

        The newest one determines the current incarnation, unless this process knows a later one.
        """
        for withdrawal in reversed(list(withdrawals)):
            self.withdrawals.add(withdrawal.incarnation, withdrawal.sequence)
            record = self._records.of(withdrawal.incarnation)
            if record is None:
                continue
            if withdrawal.sequence is None:
                record.is_gone = True
            else:
                draining = Announcement(
                    withdrawal.instance,
                    withdrawal.sequence,
                    draining=True,
                    slots=self.slots,
                    cold_seconds=0.0,
                    born=withdrawal.born,
                )
                self._records.announced(draining, self.evidence.now())
            if self._current is None:
                self._replace(record, "withdrawn")
            elif record is self._current:
                self._update_state()

    def answered_as(
        self, instance: InstanceId, sent_at: float, *, is_healthy: bool | None = None
    ) -> None:
        """Record which incarnation answers at the address.

        An incarnation that answers becomes the current one, with its last known state, even if a
        late announcement of its predecessor had replaced it. Only a deregistration is final. It
        takes work only if it is known to belong to the service of this node.

        Parameters
        ----------
        instance : InstanceId
            The incarnation.
        sent_at : float
            Time before the request was sent, on the clock of the evidence.
        is_healthy : bool or None
            Whether it has answered a health check well; None if it has answered something else.
        """
        self.evidence.answered(instance, sent_at)
        record = self._records.find(instance)
        if record is None:
            record = self._records.of(BackendIncarnation(instance))
            assert record is not None
        if is_healthy is not None:
            record.is_unhealthy = not is_healthy
        if record is self._current:
            self._identified_at = max(self._identified_at, sent_at)
            self._is_shown = True
            self._update_state()
            self.service_shown(instance)
        elif sent_at >= self._identified_at and not record.is_gone:
            # An earlier one was in transit while another incarnation took over.
            self._replace(record, "answered", sent_at)

    def follow_unless_shown(self, instance: InstanceId, since: float) -> None:
        """Follow the announcement of an incarnation if none has answered since.

        Parameters
        ----------
        instance : InstanceId
            The incarnation.
        since : float
            Time on the clock of the evidence.
        """
        record = self._records.find(instance)
        is_shown = self._is_shown and self._identified_at >= since
        if record is None or record is self._current or is_shown or self.takes_work:
            return
        if record.state() is BackendState.READY:
            self._replace(record, "announced")

    def reported_leaving(self) -> None:
        """Set a backend server whose answers say that it leaves to draining, for good.

        It may go on announcing that it is ready, and no answer will tell otherwise once it is sent
        nothing; only another incarnation takes work again.
        """
        if self._current is None:
            self._is_leaving_unnamed = True
            self._set_state(BackendState.DRAINING, leaving=True)
            return
        self._current.is_leaving = True
        self._update_state(leaving=True)
        self.withdrawals.add(self._current.incarnation)

    def reported_unhealthy(self) -> None:
        """Set an unhealthy backend server to draining while its state is unknown."""
        if self.state is BackendState.UNKNOWN:
            self._set_state(BackendState.DRAINING)

    def load_reported(self, load: BackendLoad) -> None:
        """Apply the number of slots in a load report."""
        if load.slots > 0:
            self.slots = load.slots

    def answered(self, *, failed: bool) -> None:
        """Record the outcome of a request that the backend server worked on."""
        self._recent_failures.append(failed)
        self._dropped_in_a_row = 0
        self._dropped_backoff = INITIAL_DROPPED_BACKOFF_SECONDS

    def dropped(self, now: float) -> None:
        """Record a request whose connection was dropped as soon as it was sent.

        After several consecutive ones the backend server counts as unavailable for a while, so that
        requests are rejected as not executed rather than lost one after the other.
        """
        self._recent_failures.append(True)
        if now < self.unavailable_until:
            return
        self._dropped_in_a_row += 1
        if self._dropped_in_a_row >= MAX_DROPPED_IN_A_ROW:
            self.unreachable(now, self._dropped_backoff)
            self._dropped_backoff = min(MAX_DROPPED_BACKOFF_SECONDS, 2.0 * self._dropped_backoff)

    def unreachable(self, now: float, seconds: float) -> None:
        """Mark the backend server as unavailable for some seconds."""
        if now >= self.unavailable_until:
            self._log.event("backend_unreachable", instance=self.instance, closed_for=seconds)
        self.unavailable_until = now + seconds
        for listener in self._on_unreachable:
            listener()

    def _follows(self, record: IncarnationRecord) -> bool:
        """Return whether an announcement makes its sender the current incarnation."""
        current = self._current
        if current is None or record.incarnation.is_later_than(current.incarnation):
            return True
        if self._is_shown or record.state() is not BackendState.READY:
            return False
        born, current_born = record.incarnation.born, current.incarnation.born
        return born is None or current_born is None or born > current_born

    def _state_of(self, record: IncarnationRecord) -> BackendState:
        state = record.state()
        evidence = self.evidence.of(record.incarnation.instance)
        if state is not BackendState.READY or (evidence is not None and evidence.shows_service):
            return state
        return BackendState.UNIDENTIFIED if evidence is None else BackendState.FOREIGN

    def _update_state(self, **fields: object) -> None:
        if self._current is not None:
            self._set_state(self._state_of(self._current), **fields)

    def _replace(self, record: IncarnationRecord, how: str, sent_at: float | None = None) -> None:
        before = self._current
        self._current = record
        self._is_shown = sent_at is not None
        self._identified_at = self.evidence.now() if sent_at is None else sent_at
        # What was reported before any incarnation was known was reported by this one.
        record.is_leaving = record.is_leaving or self._is_leaving_unnamed
        self._is_leaving_unnamed = False
        if record.announcement is not None:
            self.slots = record.announcement.slots
        self._recent_failures.clear()
        self._dropped_in_a_row = 0
        self._dropped_backoff = INITIAL_DROPPED_BACKOFF_SECONDS
        self.unavailable_until = -math.inf
        self._log.event(
            "backend_instance",
            instance=record.incarnation.instance,
            born=record.incarnation.born,
            before=None if before is None else before.incarnation.instance,
            how=how,
            how_age=self._age(sent_at),
            **self._evidence_fields(record.incarnation.instance),
        )
        self._update_state()
        for listener in self._on_replaced:
            listener()
        self._notify_identified()

    def _notify_identified(self) -> None:
        if self.identified_instance is not None:
            for listener in self._on_identified:
                listener()

    def _evidence_fields(self, instance: InstanceId) -> dict[str, object]:
        evidence = self.evidence.of(instance)
        if evidence is None:
            return {"service": None}
        return {"service": evidence.source.value, "service_age": self._age(evidence.since)}

    def _age(self, since: float | None) -> float | None:
        return None if since is None else round(self.evidence.now() - since, 3)

    def _set_state(self, state: BackendState, **fields: object) -> None:
        if state is self.state:
            return
        before = self.state
        self.state = state
        self._log.event(
            "backend_state",
            instance=self.instance,
            before=before.value,
            state=state.value,
            **fields,
        )
