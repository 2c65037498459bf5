"""A modelled node: admission control of one modelled backend server, and ingress for callers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from hoisthook.admission.admission_policy import Verdict
from hoisthook.admission.admitter import Admitter
from hoisthook.admission.running_requests import RunningRequest
from hoisthook.admission.running_requests import RunningRequests
from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.experiment.modelled_hop import ModelledHop
from hoisthook.experiment.modelled_server import ExecutionResult
from hoisthook.experiment.modelled_server import ModelledServer
from hoisthook.local_backend.repeat_limit import RepeatLimit
from hoisthook.measure.measure_budget import MeasureBudget
from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.node_load import NodeLoad
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.peer_choice import ChoiceSettings
from hoisthook.mesh.peer_choice import PeerChoice
from hoisthook.mesh.peer_directory import PeerDirectory
from hoisthook.mesh.routed_dispatcher import RoutedDispatcher
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival_budget import RetrySettings
from hoisthook.traffic.evacuations import Evacuations

if TYPE_CHECKING:
    from hoisthook.experiment.modelled_system import ModelledSystem
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.peer import Peer
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.clock import Clock


# Duration of a read of the load.
READ_SECONDS = 0.001
USABLE_SHARE = 0.8
READS_PER_SECOND = 60.0
RETRY_SETTINGS = RetrySettings(ratio=0.2, window=10.0, extra=60.0)
DATA_CENTRE_COST = 0.25
SUCCESS = 200
FAILURE = 500


class NullEventSink:
    """An event sink that discards everything."""

    def event(self, name: str, **fields: object) -> None:
        """Discard an event."""

    def decision(self, name: str, **fields: object) -> None:
        """Discard a decision."""


class ModelledReader:
    """Reads the load of a modelled backend server; one read at a time."""

    def __init__(self, server: ModelledServer, speed: ServerSpeed, clock: Clock) -> None:
        self._server = server
        self._speed = speed
        self._clock = clock
        self._reading: asyncio.Task[None] | None = None
        self.reads = 0

    @property
    def is_reading(self) -> bool:
        """Return whether a read is in progress."""
        return self._reading is not None and not self._reading.done()

    async def read(self) -> bool:
        """Read the load, or wait for the read in progress; a modelled server always answers."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._read())
        await asyncio.shield(self._reading)
        return True

    async def _read(self) -> None:
        self.reads += 1
        await asyncio.sleep(READ_SECONDS)
        self._speed.slow_periods.reported(self._server.slowdown(), self._clock.now())


class ModelledNode:
    """Admission control of one modelled backend server, and ingress for its callers.

    Admission, routing and the retry budget are those of a real node; the backend server, the
    network and the clock are modelled.
    """

    def __init__(
        self, peer: Peer, server: ModelledServer, system: ModelledSystem, clock: Clock
    ) -> None:
        self.peer = peer
        self.server = server
        self._system = system
        self._clock = clock
        self._speed = ServerSpeed()
        self.reader = ModelledReader(server, self._speed, clock)
        budget = MeasureBudget(READS_PER_SECOND, clock.now())
        self.admitter = Admitter(self._speed, self.reader, budget, USABLE_SHARE, clock)
        self.admitter.set_slots(server.slots)
        self.hop = ModelledHop(self, system, clock)
        self.restart()

    def restart(self) -> None:
        """Reset running requests, peers, routing and repeat budget, as a process restart does."""
        self.running = RunningRequests(self._clock)
        self.directory = PeerDirectory(self.peer, NullEventSink())
        choice = PeerChoice(
            self.directory,
            ChoiceSettings(DATA_CENTRE_COST),
            Evacuations(NullEventSink()),
            random.Random(self._system.draw()),
        )
        self.dispatcher = RoutedDispatcher(choice, self.hop, self._clock)
        self.repeats = RepeatLimit(
            self.peer.node, self.directory, RETRY_SETTINGS, self._clock, NullEventSink()
        )

    def add_peers(self, peers: list[Peer]) -> None:
        """Add peers to the directory, except those that the node cannot know yet."""
        if self._system.partial_view_until(self) > self._clock.now():
            peers = [peer for peer in peers if peer.data_centre == self.peer.data_centre]
        else:
            self.directory.is_complete = True
        self.directory.merge(peers, "model")

    def load(self) -> NodeLoad:
        """Return the load that the node reports to its peers."""
        gate = self.admitter.gate
        running = gate.limit if gate.is_rate_used_up else gate.running
        return NodeLoad(running, gate.waiting, gate.limit, self._speed.slowdown, 0.0)

    async def run(self, call: RoutedCall, admission: Admission) -> Outcome:
        """Admit a request and execute it at the backend server, in the steps of a real node."""
        if not self.server.is_up():
            return Refused(ResultCode.UNREACHABLE, 0.3)
        demand = self.admitter.demand(
            call.route,
            call.priority,
            received=call.received,
            target=call.target_latency,
            deadline=call.deadline,
        )
        await self.admitter.refresh_load(demand)
        may_wait = admission is Admission.QUEUE
        refused = self.repeats.refuse(call)
        if refused is not None:
            return refused
        admission_decision = self.admitter.decide_admission(demand, may_wait=may_wait)
        if admission_decision.verdict is Verdict.FULL:
            return Refused(ResultCode.SLOTS_FULL, admission_decision.retry_after)
        if admission_decision.verdict is Verdict.SLOW:
            return Refused(ResultCode.BACKEND_SERVER_SLOW, admission_decision.retry_after)
        admitted_request = await self.admitter.enter(call.route, demand, may_wait=may_wait)
        if admitted_request is None:
            retry_after = self.admitter.policy.time_to_start(demand)
            return Refused(ResultCode.QUEUE_TIMEOUT, retry_after)
        started = self._clock.now()
        try:
            refused = self.repeats.count_or_refuse(call)
            if refused is not None:
                return refused
            running = RunningRequest(call.request_id, call.route, call.priority, call.repeat)
            running_requests = self.running
            running_requests.begin(running)
            self.admitter.sent(admitted_request)
            try:
                result = await self._execute(call)
            finally:
                running_requests.end(running)
            if result is ExecutionResult.DONE:
                self.admitter.record_completed(admitted_request, self._clock.now() - started)
            self._speed.slow_periods.reported(self.server.slowdown(), self._clock.now())
            self._apply_rate_limit()
        finally:
            self.admitter.leave(admitted_request)
        match result:
            case ExecutionResult.DONE:
                return CompleteAnswer(SUCCESS, [], b"")
            case ExecutionResult.FAILED:
                return CompleteAnswer(FAILURE, [], b"")
            case ExecutionResult.SHED:
                return Refused(ResultCode.BACKEND_SERVER_SHED, 0.1)
            case ExecutionResult.LOST:
                return Lost(ResultCode.ANSWER_LOST)

    def _apply_rate_limit(self) -> None:
        """Apply the limit that an answer names."""
        limit = self.server.rate_limit()
        if limit is None:
            self.admitter.gate.rate.ended()
        else:
            self.admitter.gate.rate.named(limit)

    async def _execute(self, call: RoutedCall) -> ExecutionResult:
        route = self._system.route_by_name[call.route]
        is_repeat = self._system.record_arrival(call)
        result = await self.server.run(route)
        if result is not ExecutionResult.DONE or self._system.draw_share() >= route.call_share:
            return result
        called = self._system.route_by_name[route.calls]
        time_left = call.deadline - self._clock.now()
        outcome = await self._system.send_request(self, called, time_left, by_repeat=is_repeat)
        served = isinstance(outcome, CompleteAnswer) and outcome.status == SUCCESS
        return ExecutionResult.DONE if served else ExecutionResult.FAILED
