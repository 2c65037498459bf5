"""Runs requests at the local backend server, or reports that they were not executed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.adapter.boot_clock import BootClock
from hoisthook.admission.admission_policy import Verdict
from hoisthook.admission.admitter import Admitter
from hoisthook.admission.running_requests import RunningRequests
from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.background_tasks import BackgroundTasks
from hoisthook.local_backend.admission_logger import AdmissionLogger
from hoisthook.local_backend.backend_exchange import FAILURE_STATUS
from hoisthook.local_backend.backend_exchange import BackendExchanges
from hoisthook.local_backend.exit_detector import ExitDetector
from hoisthook.local_backend.successor_probe import SuccessorProbe
from hoisthook.mesh.announcement_claim import AnnouncementClaim
from hoisthook.mesh.backend_notices import BackendNotices
from hoisthook.mesh.health_reader import UNREACHABLE_BACKOFF_SECONDS
from hoisthook.mesh.health_reader import HealthReader
from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.incarnation_records import AnnouncementEffect
from hoisthook.mesh.incarnation_records import BackendState
from hoisthook.mesh.node_load import NodeLoad
from hoisthook.mesh.observed_backend import ObservedBackend
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.service_evidence import ServiceEvidence
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.admission.admission_policy import AdmissionDecision
    from hoisthook.admission.admitter import AdmittedRequest
    from hoisthook.admission.demand import Demand
    from hoisthook.admission.priority_gate import PriorityGate
    from hoisthook.identity import Address
    from hoisthook.identity import InstanceId
    from hoisthook.local_backend.crash_monitor import CrashMonitor
    from hoisthook.local_backend.link_settings import LinkSettings
    from hoisthook.local_backend.repeat_limit import RepeatLimit
    from hoisthook.measure.measure_budget import MeasureBudget
    from hoisthook.membership.backend_incarnation import BackendIncarnation
    from hoisthook.mesh.announcement import Announcement
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.backend_wire import BackendWire
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.traffic.traffic_configuration import ServiceTraits

DRAINING_RETRY_SECONDS = 1.0
# An evacuation may end at any time, so nodes that do not know of it yet retry soon.
EVACUATED_RETRY_SECONDS = 0.3
# An announcement may identify the backend server at any time.
UNIDENTIFIED_RETRY_SECONDS = 0.3
MIN_RETRY_AFTER_SECONDS = 0.02


class BackendLink:
    """Admission to one backend server and the exchanges with it.

    Parameters
    ----------
    address : Address
        Address at which the backend server listens.
    wire : BackendWire
        Protocol of the backend server.
    pool : ClientPool
        Connections to the backend server.
    clock : Clock
        Monotonic, the event loop's own.
    budget : MeasureBudget
        Limits the rate of load reads.
    settings : LinkSettings
        Limits on the use of the backend server.
    crashes : CrashMonitor
        Notified of requests lost in a crash and of successful ones; rejects work that has caused
        several crashes.
    repeats : RepeatLimit
        Counts each arrival; rejects repeats beyond the budget.
    log : EventLog
        Receives a record of each rejected and each lost request.

    Attributes
    ----------
    running : RunningRequests
        Requests that run at the backend server, used to find the parent request of a call.
    observed_backend : ObservedBackend
        State of the backend server.
    exit_detector : ExitDetector
        Reports the requests lost through an exit of the backend server.
    health : HealthReader
        Reads the health and load of the backend server.
    repeats : RepeatLimit
        Counts each arrival; rejects repeats beyond the budget.
    leaving : bool
        Whether only requests that may be queued are admitted: those that no other node can start
        at once.
    stopping : bool
        Whether all requests are rejected.
    evacuated : bool
        Whether operators have evacuated the data centre; set by `evacuate`.
    """

    def __init__(
        self,
        address: Address,
        *,
        wire: BackendWire,
        pool: ClientPool,
        clock: Clock,
        budget: MeasureBudget,
        settings: LinkSettings,
        crashes: CrashMonitor,
        repeats: RepeatLimit,
        log: EventLog,
    ) -> None:
        self._address = address
        self._pool = pool
        self._clock = clock
        self._log = log
        self._speed = ServerSpeed()
        self.running = RunningRequests(clock)
        self.observed_backend = ObservedBackend(
            ServiceEvidence(settings.reuse_after_seconds, BootClock()), log
        )
        self._claim = AnnouncementClaim(self.observed_backend, clock.now())
        self._confirming = BackgroundTasks()
        self._notices = BackendNotices(self.observed_backend, log)
        self.exit_detector = ExitDetector(
            lambda: address, pool, lambda: self.observed_backend.takes_work, clock, log
        )
        self._exchanges = BackendExchanges(
            address,
            wire,
            pool,
            self.observed_backend,
            self._speed,
            self.running,
            self.exit_detector,
            self._notices,
            clock,
            log,
        )
        self.health = HealthReader(
            address,
            wire,
            pool,
            self.observed_backend,
            self._speed,
            self.running,
            self._notices,
            clock,
            log,
        )
        self._successor_probe = SuccessorProbe(self.health, self.observed_backend.evidence)
        self.observed_backend.on_unreachable(self._successor_probe.start)
        self._admitter = Admitter(self._speed, self.health, budget, settings.usable_share, clock)
        self.observed_backend.on_replaced(self._replaced)
        self.observed_backend.on_contradicted(self._ask_who_answers)
        self.health.on_cold(self._update_cold_state)
        self._notices.on_limit(self._apply_rate_limit)
        if settings.cold_factor > 0:
            # No requests are sent to a cold server until the operators' rate is known.
            self.gate.cold.set_rate_limit(0)
        self._settings = settings
        self._crash_monitor = crashes
        self.repeats = repeats
        self.exit_detector.on_exit(crashes.ended)
        self._admission_logger = AdmissionLogger(
            self.gate, self._speed, self.observed_backend, clock, log
        )
        self.leaving = False
        self.stopping = False
        self.evacuated = False

    @property
    def gate(self) -> PriorityGate:
        """Return the gate that assigns the slots of the backend server."""
        return self._admitter.gate

    def announced(self, announcement: Announcement) -> AnnouncementEffect:
        """Apply an announcement of the backend server, once it is confirmed if that is needed.

        Which service its sender belongs to is known at once, however late it arrives.
        """
        effect = AnnouncementEffect.APPLIED
        self.observed_backend.evidence.announced(announcement.instance)
        self.observed_backend.service_shown(announcement.instance)
        if self._claim.holds_back(announcement, self._clock.now()):
            self._log.event(
                "announcement_unconfirmed",
                instance=announcement.instance,
                sequence=announcement.sequence,
            )
            self._confirming.start(self._confirm_announcement())
        else:
            effect = self._apply_announcement(announcement)
        self._update_gate()
        return effect

    def announced_elsewhere(self, instance: InstanceId) -> None:
        """Apply an announcement that names a service other than that of this node."""
        self.observed_backend.announced_elsewhere(instance)
        self._update_gate()

    def recorded(self, instance: InstanceId) -> None:
        """Apply that an earlier process of the node has identified an incarnation."""
        self.observed_backend.recorded(instance)
        self._update_gate()

    def history_known(self) -> None:
        """Record that what earlier processes of the node have acknowledged has been applied."""
        self._claim.history_known()
        self._update_gate()

    def deregistered(self, incarnation: BackendIncarnation) -> bool:
        """Apply the deregistration of an incarnation; return False if a later one is known."""
        is_latest = self.observed_backend.deregistered(incarnation)
        self._update_gate()
        return is_latest

    def apply_traits(self, traits: ServiceTraits | None) -> None:
        """Apply the operators' configuration of the service; None if there is none."""
        if traits is not None:
            self.health.path = traits.health_path
        if traits is None:
            self.gate.cold.set_rate_limit(None)
        else:
            limit = self._settings.cold_bound(traits.cold_per_second)
            self.gate.cold.set_rate_limit(limit, traits.cold_seconds)
        self._update_gate()

    def evacuate(self, *, evacuated: bool) -> None:
        """Start or end the evacuation, during which no request is admitted; running ones finish."""
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        # After a time without requests the backend server may have become cold.
        self.gate.cold.forget()
        self._update_gate()

    def load(self) -> NodeLoad:
        """Return the current load."""
        return NodeLoad(
            # A server whose limit is used up counts as full, so that older nodes understand it too.
            running=self.gate.limit if self.gate.is_rate_used_up else self.gate.running,
            waiting=self.gate.waiting,
            limit=self.gate.limit,
            slowdown=self._speed.slowdown,
            failing=self.observed_backend.failing,
        )

    async def run(
        self,
        call: RoutedCall,
        admission: Admission,
        *,
        admitted: Callable[[], Awaitable[None]] | None = None,
        waiting: Callable[[float], None] | None = None,
    ) -> Outcome:
        """Admit a request and execute it at the backend server.

        Parameters
        ----------
        call : RoutedCall
            Request to execute.
        admission : Admission
            Whether the request may be queued for a slot and be executed slowly.
        admitted : callable, optional
            Awaited once the request has a slot and before it is sent; completes its body.
        waiting : callable, optional
            Called with the maximum queue time in seconds if the request is queued for a slot.
        """
        demand = self._demand(call)
        if not self.observed_backend.has_answered:
            # A limit or a drain that the node's predecessor was told of must hold here too.
            await self._admitter.read()
            self._update_gate()
        elif self.observed_backend.takes_work:
            await self._admitter.refresh_load(demand)
        may_wait = admission is Admission.QUEUE
        if not may_wait:
            # Counted at the direct attempt only: the request may return to this node to be queued.
            self._admitter.arrived(demand)
        refused = self._refuse(call, demand, may_wait=may_wait)
        if refused is None:
            admitted_request = await self._admitter.enter(
                call.route, demand, may_wait=may_wait, waiting=waiting
            )
            if admitted_request is not None:
                self._admission_logger.admitted(call, admitted_request)
                return await self._run_admitted(call, admitted_request, admitted)
            refused = Refused(ResultCode.QUEUE_TIMEOUT, self._time_to_slot(call))
        self._admission_logger.refused(call, admission, refused)
        return refused

    def close(self) -> None:
        """Cancel all background work; requests are not affected."""
        self._confirming.close()
        self.exit_detector.close()
        self._successor_probe.close()
        self.health.close()
        self._admitter.close()

    def _refuse(self, call: RoutedCall, demand: Demand, *, may_wait: bool) -> Refused | None:
        now = self._clock.now()
        observed_backend = self.observed_backend
        if self.stopping:
            return Refused(ResultCode.NODE_STOPPING, DRAINING_RETRY_SECONDS)
        if self.leaving and not may_wait:
            return Refused(ResultCode.NODE_LEAVING, MIN_RETRY_AFTER_SECONDS)
        if self.evacuated:
            return Refused(ResultCode.DATA_CENTRE_EVACUATED, EVACUATED_RETRY_SECONDS)
        refused = self._refuse_by_state()
        if refused is None and not observed_backend.has_answered:
            refused = self._refuse_before_first_answer()
        refused = refused or self._refuse_unknown_instance()
        if refused is not None:
            return refused
        if now < observed_backend.unavailable_until:
            return Refused(ResultCode.UNREACHABLE, observed_backend.unavailable_until - now)
        if call.time_left(now) <= 0:
            return Refused(ResultCode.DEADLINE_PASSED, 0.0)
        refused = self._crash_monitor.refuse(call) or self.repeats.refuse(call)
        if refused is not None:
            return refused
        return _refusal(self._admitter.decide_admission(demand, may_wait=may_wait))

    def _refuse_by_state(self) -> Refused | None:
        """Return a refusal if the backend server is known not to take requests of this service."""
        if self.observed_backend.state is BackendState.UNIDENTIFIED:
            return Refused(ResultCode.BACKEND_SERVER_DRAINING, UNIDENTIFIED_RETRY_SECONDS)
        if not self.observed_backend.takes_work:
            return Refused(ResultCode.BACKEND_SERVER_DRAINING, DRAINING_RETRY_SECONDS)
        return None

    def _refuse_unknown_instance(self) -> Refused | None:
        """Return a refusal if no incarnation is known that a request could name."""
        if self.observed_backend.instance is None:
            return Refused(ResultCode.UNREACHABLE, UNREACHABLE_BACKOFF_SECONDS)
        return None

    def _refuse_before_first_answer(self) -> Refused | None:
        """Return a refusal while the backend server has not answered this process yet.

        It may be leaving, or name a limit, and the node's predecessor may have been told so.
        """
        if self.health.path is None:
            return Refused(ResultCode.CONFIGURATION_MISSING, MIN_RETRY_AFTER_SECONDS)
        if self.observed_backend.state is BackendState.UNKNOWN:
            return Refused(ResultCode.UNREACHABLE, UNREACHABLE_BACKOFF_SECONDS)
        if self.gate.running > 0:
            # Announced as ready, but its health check does not answer: the first request shows what
            # its answers say.
            return Refused(ResultCode.SLOTS_FULL, MIN_RETRY_AFTER_SECONDS)
        return None

    def _refuse_before_sending(self, call: RoutedCall) -> Refused | None:
        """Return a refusal for an admitted request that must no longer be sent.

        A body may take half a second to arrive after admission. In that time the backend server
        may have deregistered or the data centre may have been evacuated. The id of the work is
        known only with the body, and other nodes may have reported crashes under it meanwhile.
        """
        if self.evacuated:
            return Refused(ResultCode.DATA_CENTRE_EVACUATED, EVACUATED_RETRY_SECONDS)
        return (
            self._refuse_by_state()
            or self._refuse_unknown_instance()
            or self._crash_monitor.refuse(call)
            or self.repeats.count_or_refuse(call)
        )

    def _demand(self, call: RoutedCall) -> Demand:
        return self._admitter.demand(
            call.route,
            call.priority,
            received=call.received,
            target=call.target_latency,
            deadline=call.deadline,
        )

    async def _run_admitted(
        self,
        call: RoutedCall,
        admitted_request: AdmittedRequest,
        admitted: Callable[[], Awaitable[None]] | None,
    ) -> Outcome:
        try:
            if admitted is not None:
                await admitted()
            connection = await self._exchanges.connect()
            if isinstance(connection, Refused):
                return connection
            refused = self._refuse_before_sending(call)
            if refused is not None:
                self._pool.keep(self._address, connection)
                return refused
            return await self._exchange(call, admitted_request, connection)
        finally:
            self._admitter.leave(admitted_request)

    async def _exchange(
        self, call: RoutedCall, admitted_request: AdmittedRequest, connection: ClientConnection
    ) -> Outcome:
        exchange_result = await self._exchanges.run(
            call,
            connection,
            admitted_request=admitted_request,
            sent=lambda: self._admitter.sent(admitted_request),
        )
        outcome = exchange_result.outcome
        if isinstance(outcome, CompleteAnswer) and outcome.status < FAILURE_STATUS:
            self._admitter.record_completed(admitted_request, exchange_result.seconds)
            self._crash_monitor.request_succeeded(call)
        elif isinstance(outcome, Lost) and outcome.code is ResultCode.DEADLINE_DURING_RUN:
            self._admitter.record_abandoned(admitted_request, exchange_result.seconds)
        # The answer may have changed the number of slots, the incarnation or the limit.
        self._update_gate()
        if isinstance(outcome, Refused) and outcome.code is ResultCode.BACKEND_SERVER_SHED:
            return Refused(outcome.code, self._time_to_slot(call))
        return outcome

    async def _confirm_announcement(self) -> None:
        await self._admitter.read()
        self._update_gate()

    def _apply_announcement(self, announcement: Announcement) -> AnnouncementEffect:
        effect = self.observed_backend.announced(announcement)
        if effect is AnnouncementEffect.APPLIED:
            self._apply_announced_cold()
        return effect

    def _apply_announced_cold(self) -> None:
        cold_seconds = self.observed_backend.announced_cold_seconds
        self.gate.cold.announced(cold_seconds, self._clock.now())

    def _ask_who_answers(self, announced: InstanceId) -> None:
        self._confirming.start(self._confirm_instance(announced))

    async def _confirm_instance(self, announced: InstanceId) -> None:
        asked_at = self.observed_backend.evidence.now()
        await self._admitter.read()
        self.observed_backend.follow_unless_shown(announced, asked_at)
        self._update_gate()

    def _update_gate(self) -> None:
        announcement = self._claim.take_confirmed()
        if announcement is not None:
            self._apply_announcement(announcement)
        self._admitter.set_slots(self.observed_backend.slots)
        if self.evacuated or not self.observed_backend.takes_work:
            self.gate.refuse_waiting()
        self.gate.admit()

    def _replaced(self) -> None:
        """Drop all state of the previous incarnation and the connections to it."""
        self.exit_detector.replaced()
        self._speed.reset()
        self.gate.cold.forget()
        self._apply_announced_cold()
        self._notices.forget()
        self._pool.forget(self._address)

    def _update_cold_state(self, remaining: float, requested_at: float) -> None:
        now = self._clock.now()
        was_cold = self.gate.cold.is_cold(now)
        self.gate.cold.observed(remaining, requested_at, now)
        if was_cold is not (remaining > 0):
            self._log.event(
                "backend_cold", instance=self.observed_backend.instance, seconds=round(remaining, 2)
            )

    def _apply_rate_limit(self, per_second: float | None) -> None:
        if per_second is None:
            self.gate.rate.ended()
        else:
            self.gate.rate.named(per_second)

    def _time_to_slot(self, call: RoutedCall) -> float:
        return self._admitter.policy.time_to_start(self._demand(call))


def _refusal(admission_decision: AdmissionDecision) -> Refused | None:
    match admission_decision.verdict:
        case Verdict.ADMIT:
            return None
        case Verdict.FULL:
            return Refused(ResultCode.SLOTS_FULL, admission_decision.retry_after)
        case Verdict.COLD:
            return Refused(ResultCode.BACKEND_SERVER_COLD, admission_decision.retry_after)
        case Verdict.SLOW:
            return Refused(ResultCode.BACKEND_SERVER_SLOW, admission_decision.retry_after)
