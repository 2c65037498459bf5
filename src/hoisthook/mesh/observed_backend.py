"""State of the local backend server as its node observes it."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hoisthook.membership.backend_incarnation import BackendIncarnation
from hoisthook.mesh.withdrawal import Withdrawal

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from hoisthook.identity import InstanceId
    from hoisthook.mesh.service_evidence import ServiceEvidence
    from hoisthook.port.backend_wire import BackendLoad
    from hoisthook.port.event_log import EventLog

# Former incarnations whose late announcements are recognised; more than start within a minute.
MAX_FORMER_INCARNATIONS = 16
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


_STATES_WITHOUT_SERVICE = frozenset({BackendState.UNIDENTIFIED, BackendState.FOREIGN})


@dataclass(frozen=True, slots=True)
class Announcement:
    """An announcement by which a backend server reports its state.

    Attributes
    ----------
    instance : InstanceId
        Id of its incarnation.
    sequence : int
        Sequence number, which increases with each announcement of an incarnation.
    draining : bool
        Whether it takes no new requests.
    slots : int
        Number of requests that it can run at once.
    cold_seconds : float
        Remaining seconds of its cold start, in which it is slow.
    born : int or None
        Unix milliseconds of its start; None if it does not report them.
    """

    instance: InstanceId
    sequence: int
    draining: bool
    slots: int
    cold_seconds: float
    born: int | None = None

    @property
    def incarnation(self) -> BackendIncarnation:
        """Return the incarnation that sent it."""
        return BackendIncarnation(self.instance, self.born)


@dataclass(frozen=True, slots=True)
class _FormerIncarnation:
    """An incarnation other than the current one, and its last known state."""

    incarnation: BackendIncarnation
    state: BackendState


class ObservedBackend:
    """State, incarnation, slots and recent failures of the local backend server.

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
        self._log = log
        self._former_by_instance: dict[InstanceId, _FormerIncarnation] = {}
        self._current: BackendIncarnation | None = None
        self._on_replaced: list[Callable[[], None]] = []
        self._withdrawal_by_instance: dict[InstanceId, Withdrawal] = {}
        self._on_withdrawn: list[Callable[[], None]] = []
        self._on_identified: list[Callable[[], None]] = []
        self._on_unreachable: list[Callable[[], None]] = []
        self._sequence = -1
        # Time from which an exchange must have been sent to show another incarnation.
        self._identified_at = -math.inf
        self._recent_failures: deque[bool] = deque(maxlen=RECENT_ANSWERS)
        self._dropped_in_a_row = 0
        self._dropped_backoff = INITIAL_DROPPED_BACKOFF_SECONDS
        self._is_leaving = False
        self.has_answered = False
        self.state = BackendState.UNKNOWN
        self.slots = 0
        self.unavailable_until = -math.inf

    @property
    def instance(self) -> InstanceId | None:
        """Return the id of the current incarnation; None if none is known."""
        return None if self._current is None else self._current.instance

    @property
    def identified_instance(self) -> InstanceId | None:
        """Return the current incarnation if it is known to belong to the service of this node."""
        instance = self.instance
        is_identified = instance is not None and self.evidence.shows_service(instance)
        return instance if is_identified else None

    def on_replaced(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when an incarnation becomes the current one."""
        self._on_replaced.append(listener)

    def on_identified(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when the current incarnation is identified."""
        self._on_identified.append(listener)

    def on_unreachable(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when no request can be sent to it."""
        self._on_unreachable.append(listener)

    def on_withdrawn(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when an incarnation withdraws."""
        self._on_withdrawn.append(listener)

    @property
    def withdrawals(self) -> list[Withdrawal]:
        """Return the withdrawals in force, oldest first."""
        return list(self._withdrawal_by_instance.values())

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

    def announced(self, announcement: Announcement) -> bool:
        """Apply an announcement; return whether it is newer than the known state.

        A later incarnation under the same id starts with a new sequence, and neither the drain nor
        the deregistration of the earlier one applies to it. Late announcements of the earlier
        incarnation are ignored.
        """
        self.evidence.announced(announcement.instance)
        return self._apply_announcement(announcement)

    def announced_elsewhere(self, instance: InstanceId) -> None:
        """Record that an incarnation announces a service other than that of this node."""
        self.evidence.announced_elsewhere(instance)
        if instance == self.instance:
            self._set_state(BackendState.FOREIGN)

    def recorded(self, instance: InstanceId) -> None:
        """Apply that an earlier process of this node has identified an incarnation."""
        self.evidence.recorded(instance)
        if self.evidence.shows_service(instance):
            self.service_shown(instance)

    def service_shown(self, instance: InstanceId) -> None:
        """Apply new evidence that an incarnation belongs to the service of this node.

        One that has answered already is ready from now on.
        """
        if instance == self.instance and self.state is BackendState.UNIDENTIFIED:
            self._set_state(BackendState.READY)
            self._notify_identified()

    def _apply_announcement(self, announcement: Announcement) -> bool:
        incarnation = announcement.incarnation
        former = self._former_by_instance.get(incarnation.instance)
        if former is not None and not incarnation.is_later_than(former.incarnation):
            return False
        current = self._current
        if (
            current is None
            or incarnation.instance != current.instance
            or incarnation.is_later_than(current)
        ):
            self._replace(incarnation, "announced")
        elif current.is_later_than(incarnation) or announcement.sequence <= self._sequence:
            return False
        elif current.born is None:
            # Known only from its answers so far, which do not carry the time of its start.
            self._current = incarnation
        self._sequence = announcement.sequence
        self.slots = announcement.slots
        is_draining = announcement.draining or self._is_leaving
        state = BackendState.DRAINING if is_draining else BackendState.READY
        self._set_state(state, sequence=announcement.sequence)
        if is_draining:
            self._withdraw(incarnation, None if self._is_leaving else announcement.sequence)
        else:
            self._withdrawal_by_instance.pop(incarnation.instance, None)
        return True

    def deregistered(self, incarnation: BackendIncarnation) -> None:
        """Record the deregistration of an incarnation; later ones under its id are unaffected."""
        current = self._current
        if current is not None and current.is_later_than(incarnation):
            return
        if current is None or current.instance == incarnation.instance:
            if incarnation.born is None and current is not None:
                incarnation = current
            self._current = incarnation
            self._set_state(BackendState.GONE)
        self._record_former(incarnation, BackendState.GONE)
        self._withdraw(incarnation)

    def restore(self, withdrawals: Iterable[Withdrawal]) -> None:
        """Apply withdrawals that earlier processes of this node were told of, oldest first.

        The newest one determines the current incarnation, unless this process knows a later one.
        """
        for withdrawal in reversed(list(withdrawals)):
            if self.instance not in (None, withdrawal.instance):
                self._withdraw(withdrawal.incarnation, withdrawal.sequence)
                state = BackendState.GONE if withdrawal.is_final else BackendState.DRAINING
                self._record_former(withdrawal.incarnation, state)
            elif withdrawal.sequence is None:
                self.deregistered(withdrawal.incarnation)
            else:
                self._apply_announcement(
                    Announcement(
                        withdrawal.instance,
                        withdrawal.sequence,
                        draining=True,
                        slots=self.slots,
                        cold_seconds=0.0,
                        born=withdrawal.born,
                    )
                )

    def answered_as(self, instance: InstanceId, sent_at: float) -> None:
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
        """
        self.evidence.answered(instance, sent_at)
        former = self._former_by_instance.get(instance)
        if instance == self.instance:
            self._identified_at = max(self._identified_at, sent_at)
            if self.evidence.shows_service(instance):
                self.service_shown(instance)
        elif sent_at < self._identified_at:
            # The answer was in transit while another incarnation took over.
            return
        elif former is None or former.state is not BackendState.GONE:
            known = BackendIncarnation(instance) if former is None else former.incarnation
            self._replace(known, "answered", sent_at)
            self._set_state(self._state_by_evidence(instance, former))

    def _state_by_evidence(
        self, instance: InstanceId, former: _FormerIncarnation | None
    ) -> BackendState:
        if not self.evidence.shows_service(instance):
            is_known = self.evidence.of(instance) is not None
            return BackendState.FOREIGN if is_known else BackendState.UNIDENTIFIED
        if former is None or former.state in _STATES_WITHOUT_SERVICE:
            return BackendState.READY
        return former.state

    def reported_leaving(self) -> None:
        """Set a backend server whose answers say that it leaves to draining, for good.

        It may go on announcing that it is ready, and no answer will tell otherwise once it is sent
        nothing; only another incarnation takes work again.
        """
        self._is_leaving = True
        if self.takes_work:
            self._set_state(BackendState.DRAINING, leaving=True)
        if self._current is not None:
            self._withdraw(self._current)

    def reported_unhealthy(self) -> None:
        """Set an unhealthy backend server to draining while its state is unknown."""
        if self.state is BackendState.UNKNOWN:
            self._set_state(BackendState.DRAINING)

    def forget_withdrawal(self, instance: InstanceId) -> None:
        """Discard the withdrawal of a former incarnation that no announcement can follow."""
        self._withdrawal_by_instance.pop(instance, None)

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

    def _replace(
        self, incarnation: BackendIncarnation, how: str, sent_at: float | None = None
    ) -> None:
        before = self._current
        if before is not None and before.instance != incarnation.instance:
            self._record_former(before, self.state)
        self._former_by_instance.pop(incarnation.instance, None)
        self._current = incarnation
        self._identified_at = self.evidence.now() if sent_at is None else sent_at
        # What was reported before any incarnation was known was reported by this one.
        self._is_leaving = self._is_leaving and before is None
        self._sequence = -1
        self._recent_failures.clear()
        self._dropped_in_a_row = 0
        self._dropped_backoff = INITIAL_DROPPED_BACKOFF_SECONDS
        self.unavailable_until = -math.inf
        self._log.event(
            "backend_instance",
            instance=incarnation.instance,
            born=incarnation.born,
            before=None if before is None else before.instance,
            how=how,
            how_age=self._age(sent_at),
            **self._evidence_fields(incarnation.instance),
        )
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

    def _withdraw(self, incarnation: BackendIncarnation, sequence: int | None = None) -> None:
        known = self._withdrawal_by_instance.get(incarnation.instance)
        is_known = known is not None and not incarnation.is_later_than(known.incarnation)
        if known is not None and is_known and (known.is_final or sequence is not None):
            return
        self._withdrawal_by_instance.pop(incarnation.instance, None)
        withdrawal = Withdrawal(incarnation.instance, incarnation.born, sequence)
        self._withdrawal_by_instance[incarnation.instance] = withdrawal
        while len(self._withdrawal_by_instance) > MAX_FORMER_INCARNATIONS:
            del self._withdrawal_by_instance[next(iter(self._withdrawal_by_instance))]
        for listener in self._on_withdrawn:
            listener()

    def _record_former(self, incarnation: BackendIncarnation, state: BackendState) -> None:
        # A deregistration stays in force whatever arrives later from the same incarnation.
        former = self._former_by_instance.get(incarnation.instance)
        if former is not None and former.incarnation.is_later_than(incarnation):
            return
        is_final = former is not None and former.state is BackendState.GONE
        if former is None or not is_final or incarnation.is_later_than(former.incarnation):
            self._former_by_instance[incarnation.instance] = _FormerIncarnation(incarnation, state)
        while len(self._former_by_instance) > MAX_FORMER_INCARNATIONS:
            del self._former_by_instance[next(iter(self._former_by_instance))]

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
