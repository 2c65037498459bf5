"""Runs requests at the backend server beside, or says truthfully that they were not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.admission.admission_policy import Verdict
from hoisthook.admission.admitter import Admitter
from hoisthook.admission.running_requests import RunningRequests
from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.local_backend.admission_lines import AdmissionLines
from hoisthook.local_backend.backend_exchange import FAILURE_STATUS
from hoisthook.local_backend.backend_exchange import BackendExchanges
from hoisthook.local_backend.exit_detector import ExitDetector
from hoisthook.mesh.health_reader import HealthReader
from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.node_load import NodeLoad
from hoisthook.mesh.observed_backend import BackendState
from hoisthook.mesh.observed_backend import ObservedBackend
from hoisthook.mesh.outcome import CompleteAnswer
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
    from hoisthook.local_backend.crash_monitor import CrashMonitor
    from hoisthook.local_backend.link_settings import LinkSettings
    from hoisthook.local_backend.repeat_limit import RepeatLimit
    from hoisthook.measure.measure_budget import MeasureBudget
    from hoisthook.membership.backend_incarnation import BackendIncarnation
    from hoisthook.mesh.observed_backend import Announcement
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.backend_wire import BackendWire
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.traffic.traffic_configuration import ServiceTraits

DRAINING_RETRY_SECONDS = 1.0
# A data centre is taken back without notice; who does not know of its evacuation asks again soon.
EVACUATED_RETRY_SECONDS = 0.3
MIN_RETRY_AFTER_SECONDS = 0.02


class BackendLink:
    """Admission to one backend server and the exchanges with it.

    Parameters
    ----------
    address : Address
        Where it listens.
    wire : BackendWire
        How it is spoken to.
    pool : ClientPool
        Connections to it.
    clock : Clock
        Monotonic, the loop's own.
    budget : MeasureBudget
        Bounds the reads of its load.
    settings : LinkSettings
        How it is used.
    crashes : CrashMonitor
        Told of what ran there as it ended, and of what ran well; refuses.
    repeats : RepeatLimit
        Told of each arrival; refuses.
    log : EventLog
        Gets a line for each refusal and each loss.

    Attributes
    ----------
    running : RunningRequests
        What runs there, by which its calls are told.
    repeats : RepeatLimit
        Told of each arrival; refuses.
    leaving : bool
        Whether only what no other node can start is admitted.
    stopping : bool
        Whether nothing is admitted.
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
        self.observed_backend = ObservedBackend(log)
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
            clock,
            log,
        )
        self.health = HealthReader(
            address, wire, pool, self.observed_backend, self._speed, self.running, clock, log
        )
        self._admitter = Admitter(self._speed, self.health, budget, settings.usable_share, clock)
        self.observed_backend.on_replaced(self._replaced)
        self.health.on_cold(self._observed_cold)
        if settings.cold_factor > 0:
            # Nothing is sent before the operators' rate is known.
            self.gate.cold.set_rate_limit(0)
        self._settings = settings
        self._crashes = crashes
        self.repeats = repeats
        self.exit_detector.on_ended(crashes.ended)
        self._lines = AdmissionLines(self.gate, self._speed, self.observed_backend, clock, log)
        self.leaving = False
        self.stopping = False
        self.evacuated = False

    @property
    def gate(self) -> PriorityGate:
        """Return the slots of the backend server."""
        return self._admitter.gate

    def announced(self, announcement: Announcement) -> None:
        """Take in an announcement of the backend server."""
        if self.observed_backend.announced(announcement):
            self.gate.cold.announced(announcement.cold_seconds, self._clock.now())
        self._adapt()

    def deregistered(self, incarnation: BackendIncarnation) -> None:
        """Take in that an incarnation of the backend server has left."""
        self.observed_backend.deregistered(incarnation)
        self._adapt()

    def has_traits(self, traits: ServiceTraits | None) -> None:
        """Take in what operators say about the service."""
        if traits is not None:
            self.health.path = traits.health_path
        if traits is None:
            self.gate.cold.set_rate_limit(None)
        else:
            limit = self._settings.cold_bound(traits.cold_per_second)
            self.gate.cold.set_rate_limit(limit, traits.cold_seconds)
        self._adapt()

    def evacuate(self, *, evacuated: bool) -> None:
        """Admit nothing while the data centre is evacuated; what runs goes on to its end."""
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        # Where nothing was sent for a while the backend server may have turned cold.
        self.gate.cold.forget()
        self._adapt()

    def load(self) -> NodeLoad:
        """Return the load as it is now."""
        return NodeLoad(
            running=self.gate.running,
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
        """Run a request.

        Parameters
        ----------
        call : RoutedCall
            What to run.
        admission : Admission
            Whether it may wait and run slowly.
        admitted : callable, optional
            Awaited once the request has a slot and before it is sent; completes its body.
        waiting : callable, optional
            Told for how many seconds at most the request is kept waiting for a slot.
        """
        demand = self._demand(call)
        if self.observed_backend.state is BackendState.UNKNOWN:
            await self._admitter.read()
            self._adapt()
        elif self.observed_backend.takes_work:
            await self._admitter.refresh_load(demand)
        may_wait = admission is Admission.QUEUE
        if not may_wait:
            # Once for each node that is asked; it may come back to wait.
            self._admitter.arrived(demand)
        refused = self._refuse(call, demand, may_wait=may_wait)
        if refused is None:
            admitted_request = await self._admitter.enter(
                call.route, demand, may_wait=may_wait, waiting=waiting
            )
            if admitted_request is not None:
                self._lines.admitted(call, admitted_request)
                return await self._run_admitted(call, admitted_request, admitted)
            refused = Refused(ResultCode.QUEUE_TIMEOUT, self._time_to_slot(call))
        self._lines.refused(call, admission, refused)
        return refused

    def close(self) -> None:
        """Stop what is under way besides requests."""
        self.exit_detector.close()
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
        if observed_backend.state is BackendState.UNKNOWN and self.health.path is None:
            # It may be leaving, and nothing says yet where its health is asked.
            return Refused(ResultCode.CONFIGURATION_MISSING, MIN_RETRY_AFTER_SECONDS)
        if not observed_backend.takes_work:
            return Refused(ResultCode.BACKEND_SERVER_DRAINING, DRAINING_RETRY_SECONDS)
        if now < observed_backend.closed_until:
            return Refused(ResultCode.UNREACHABLE, observed_backend.closed_until - now)
        if call.time_left(now) <= 0:
            return Refused(ResultCode.DEADLINE_PASSED, 0.0)
        refused = self._crashes.refuse(call) or self.repeats.refuse(call)
        if refused is not None:
            return refused
        return _refusal(self._admitter.decide_admission(demand, may_wait=may_wait))

    def _refuse_late(self, call: RoutedCall) -> Refused | None:
        """Refuse what was admitted before all work here was stopped, and is not sent yet.

        A body may take half a second to arrive: a request that was admitted before a farewell
        or an evacuation would be sent that much later. What it asks for is known only with it,
        and others may have told meanwhile what it does.
        """
        if self.evacuated:
            return Refused(ResultCode.DATA_CENTRE_EVACUATED, EVACUATED_RETRY_SECONDS)
        if not self.observed_backend.takes_work:
            return Refused(ResultCode.BACKEND_SERVER_DRAINING, DRAINING_RETRY_SECONDS)
        return self._crashes.refuse(call) or self.repeats.arrives(call)

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
            refused = self._refuse_late(call)
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
            self._crashes.ran_well(call)
        elif isinstance(outcome, Lost) and outcome.code is ResultCode.DEADLINE_DURING_RUN:
            self._admitter.record_abandoned(admitted_request, exchange_result.seconds)
        # The answer may have told of slots, or of another incarnation.
        self._adapt()
        if isinstance(outcome, Refused) and outcome.code is ResultCode.BACKEND_SERVER_SHED:
            return Refused(outcome.code, self._time_to_slot(call))
        return outcome

    def _adapt(self) -> None:
        self._admitter.set_slots(self.observed_backend.slots)
        if self.evacuated or not self.observed_backend.takes_work:
            self.gate.refuse_waiting()
        self.gate.admit()

    def _replaced(self) -> None:
        """Drop what was known of the incarnation before, and the connections to it."""
        self.exit_detector.replaced()
        self._speed.reset()
        self.gate.cold.forget()
        self._pool.forget(self._address)

    def _observed_cold(self, remaining: float, asked_at: float) -> None:
        now = self._clock.now()
        was_cold = self.gate.cold.is_cold(now)
        self.gate.cold.observed(remaining, asked_at, now)
        if was_cold is not (remaining > 0):
            self._log.event(
                "backend_cold", instance=self.observed_backend.instance, seconds=round(remaining, 2)
            )

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
