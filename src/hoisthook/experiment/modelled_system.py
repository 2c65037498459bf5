"""Nodes, backend servers and callers of a load pattern, played on virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from hoisthook.admission.admission_policy import Verdict
from hoisthook.admission.admitter import Admitter
from hoisthook.admission.running_requests import RunningRequest
from hoisthook.admission.running_requests import RunningRequests
from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.background_tasks import BackgroundTasks
from hoisthook.beside.repeat_limit import RepeatLimit
from hoisthook.experiment.load_pattern import Befall
from hoisthook.experiment.load_pattern import Tally
from hoisthook.experiment.modelled_server import Ended
from hoisthook.experiment.modelled_server import ModelledServer
from hoisthook.experiment.virtual_loop import run_virtually
from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import RequestId
from hoisthook.measure.measure_budget import MeasureBudget
from hoisthook.mesh.admitted_exchange import ADMISSION_SECONDS
from hoisthook.mesh.admitted_exchange import SILENT_RETRY_SECONDS
from hoisthook.mesh.beside_load import BesideLoad
from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.outcome import WholeAnswer
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.peer_choice import ChoiceSettings
from hoisthook.mesh.peer_choice import PeerChoice
from hoisthook.mesh.peer_directory import PeerDirectory
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.mesh.routed_dispatcher import RoutedDispatcher
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.node.loop_clock import LoopClock
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival_budget import RetrySettings
from hoisthook.traffic.evacuations import Evacuations

if TYPE_CHECKING:
    from hoisthook.experiment.load_pattern import LoadPattern
    from hoisthook.experiment.load_pattern import RouteTraits
    from hoisthook.experiment.load_pattern import Trouble
    from hoisthook.identity import RouteName
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.peer import PeerView
    from hoisthook.port.clock import Clock

DATA_CENTRES = 3
# One way between instances, and how long a read of the load takes.
HOP_SECONDS = 0.001
# Until a connection that nobody answers is given up.
CONNECT_SECONDS = 0.1
READ_SECONDS = 0.001
USABLE_SHARE = 0.8
READS_PER_SECOND = 60.0
RETRY_SETTINGS = RetrySettings(ratio=0.2, window=10.0, extra=60.0)
DATA_CENTRE_COST = 0.25
# Callers that repeat at once do so after this.
IMPATIENT_SECONDS = 0.01
SUCCESS = 200
FAILURE = 500


class NoLog:
    """An event log that keeps nothing."""

    def event(self, name: str, **fields: object) -> None:
        """Pass over an event."""

    def decision(self, name: str, **fields: object) -> None:
        """Pass over a decision."""


class ModelledReader:
    """Reads a modelled backend server's load; one read at a time."""

    def __init__(self, server: ModelledServer, speed: ServerSpeed, clock: Clock) -> None:
        self._server = server
        self._speed = speed
        self._clock = clock
        self._reading: asyncio.Task[None] | None = None
        self.reads = 0

    @property
    def is_reading(self) -> bool:
        """Return whether a read is under way."""
        return self._reading is not None and not self._reading.done()

    async def read(self) -> None:
        """Read once, or wait for the read under way."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._read())
        await asyncio.shield(self._reading)

    async def _read(self) -> None:
        self.reads += 1
        await asyncio.sleep(READ_SECONDS)
        self._speed.moments.reported(self._server.slowdown(), self._clock.now())


class ModelledNode:
    """Admission beside one modelled backend server, and the entry for callers."""

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
        self.admitter.has_slots(server.slots)
        self.hop = ModelledHop(self, system, clock)
        self.running = RunningRequests(clock)
        self.begin()

    def begin(self) -> None:
        """Begin as a process does that knows nothing of its predecessor."""
        self.running = RunningRequests(self._clock)
        self.directory = PeerDirectory(self.peer, NoLog())
        choice = PeerChoice(
            self.directory,
            ChoiceSettings(DATA_CENTRE_COST),
            Evacuations(NoLog()),
            random.Random(self._system.draw()),
        )
        self.dispatcher = RoutedDispatcher(choice, self.hop, self._clock)
        self.repeats = RepeatLimit(
            self.peer.node, self.directory, RETRY_SETTINGS, self._clock, NoLog()
        )

    def listed(self, peers: list[Peer]) -> None:
        """Take in all nodes but those that it cannot know yet."""
        if self._system.starts_until(self) > self._clock.now():
            peers = [peer for peer in peers if peer.data_centre == self.peer.data_centre]
        else:
            self.directory.is_whole = True
        self.directory.merge(peers, "model")

    def load(self) -> BesideLoad:
        """Return what the node tells others."""
        gate = self.admitter.gate
        return BesideLoad(
            gate.running,
            gate.waiting,
            gate.limit,
            self._speed.slowdown,
            0.0,
            owes_repeats=self.repeats.owes,
        )

    async def run(self, call: RoutedCall, admission: Admission) -> Outcome:
        """Run a request beside this node as a node does."""
        if not self.server.is_up():
            return Refused(ResultCode.UNREACHABLE, 0.3)
        demand = self.admitter.demand(
            call.route,
            call.priority,
            received=call.received,
            target=call.target_latency,
            deadline=call.deadline,
        )
        await self.admitter.renew(demand)
        may_wait = admission is Admission.QUEUE
        refused = self.repeats.refuse(call)
        if refused is not None:
            return refused
        ruling = self.admitter.rule(demand, may_wait=may_wait)
        if ruling.verdict is Verdict.FULL:
            return Refused(ResultCode.SLOTS_FULL, ruling.retry_after)
        if ruling.verdict is Verdict.SLOW:
            return Refused(ResultCode.BACKEND_SERVER_SLOW, ruling.retry_after)
        stay = await self.admitter.enter(call.route, demand, may_wait=may_wait)
        if stay is None:
            retry_after = self.admitter.policy.time_to_start(demand)
            return Refused(ResultCode.QUEUE_TIMEOUT, retry_after)
        begun = self._clock.now()
        try:
            refused = self.repeats.arrives(call)
            if refused is not None:
                return refused
            running = RunningRequest(call.request_id, call.route, call.priority, call.repeat)
            beside = self.running
            beside.begin(running)
            try:
                ended = await self._work(call)
            finally:
                beside.end(running)
            if ended is Ended.DONE:
                self.admitter.worked(stay, self._clock.now() - begun)
            self._speed.moments.reported(self.server.slowdown(), self._clock.now())
        finally:
            self.admitter.leave(stay)
        match ended:
            case Ended.DONE:
                return WholeAnswer(SUCCESS, [], b"")
            case Ended.FAILED:
                return WholeAnswer(FAILURE, [], b"")
            case Ended.SHED:
                return Refused(ResultCode.BACKEND_SERVER_SHED, 0.1)
            case Ended.LOST:
                return Lost(ResultCode.ANSWER_LOST)

    async def _work(self, call: RoutedCall) -> Ended:
        route = self._system.route_by_name[call.route]
        is_repeat = self._system.arrived(call)
        ended = await self.server.run(route)
        if ended is not Ended.DONE or self._system.draw_share() >= route.call_share:
            return ended
        called = self._system.route_by_name[route.calls]
        time_left = call.deadline - self._clock.now()
        outcome = await self._system.ask(self, called, time_left, by_repeat=is_repeat)
        served = isinstance(outcome, WholeAnswer) and outcome.status == SUCCESS
        return Ended.DONE if served else Ended.FAILED


class ModelledHop:
    """Takes a request to a node and its answer back."""

    def __init__(self, node: ModelledNode, system: ModelledSystem, clock: Clock) -> None:
        self._node = node
        self._system = system
        self._clock = clock
        self._probes = BackgroundTasks()

    async def run(self, view: PeerView, call: RoutedCall, admission: Admission) -> Outcome:
        """Run the request there and learn from what comes back."""
        node = self._system.node_by_id[view.peer.node]
        if node.server.is_gone():
            return await self._connect_in_vain(view)
        if node.server.silent_until() > self._clock.now() and not view.is_self:
            return await self._wait_in_vain(view, call, node)
        way = 0.0 if view.is_self else HOP_SECONDS
        view.sent()
        try:
            await asyncio.sleep(way)
            outcome = await node.run(call, admission)
            await asyncio.sleep(way)
        finally:
            view.ended()
        now = self._clock.now()
        load = node.load()
        view.reported(load, now)
        if load.owes_repeats:
            self._node.repeats.called_owes(call)
        if isinstance(outcome, Refused) and outcome.code is ResultCode.UNREACHABLE:
            view.close_until(now + outcome.retry_after)
        elif isinstance(outcome, Refused) and outcome.code is ResultCode.RETRY_BUDGET_SPENT:
            view.no_repeats_until = now + outcome.retry_after
        return outcome

    def close(self) -> None:
        """Stop the probes that are under way."""
        self._probes.close()

    def probe(self, view: PeerView) -> None:
        """Find out beside the requests whether a suspected node takes connections again."""
        view.close_until(self._clock.now() + CONNECT_SECONDS)
        self._probes.start(self._probe(view))

    async def _probe(self, view: PeerView) -> None:
        if self._system.node_by_id[view.peer.node].server.is_gone():
            await self._connect_in_vain(view)
        else:
            view.connected()

    async def _wait_in_vain(
        self, view: PeerView, call: RoutedCall, node: ModelledNode
    ) -> Lost | Refused:
        """Give up a node that is silent; it still sends on what is whole when it wakes."""
        held_back = call.held_back or view.may_be_silent(self._clock.now())
        if not held_back:
            self._probes.start(self._arrive_late(dataclasses.replace(call), node))
        await asyncio.sleep(ADMISSION_SECONDS)
        view.silent(self._clock.now())
        view.unreachable(self._clock.now())
        if held_back:
            return Refused(ResultCode.NODE_SILENT, SILENT_RETRY_SECONDS)
        return Lost(ResultCode.ANSWER_LOST, admitted=False, is_silent=True)

    async def _arrive_late(self, call: RoutedCall, node: ModelledNode) -> None:
        await asyncio.sleep(node.server.silent_until() - self._clock.now())
        if node.repeats.arrives(call) is None:
            self._system.arrived(call)

    async def _connect_in_vain(self, view: PeerView) -> Refused:
        await asyncio.sleep(CONNECT_SECONDS)
        self._system.tally.unanswered += 1
        return Refused(ResultCode.UNREACHABLE, view.unreachable(self._clock.now()))


class ModelledSystem:
    """Plays one load pattern.

    Parameters
    ----------
    pattern : LoadPattern
        What is played.
    seed : int
        Of all that is drawn.
    """

    def __init__(self, pattern: LoadPattern, seed: int) -> None:
        self._pattern = pattern
        self._randomness = random.Random(seed)
        self._requests = 0
        self._clock = LoopClock()
        self.route_by_name: dict[RouteName, RouteTraits] = {r.name: r for r in pattern.routes}
        self.node_by_id: dict[NodeId, ModelledNode] = {}
        self.tally = Tally()
        self._calls_of_repeats: set[RequestId] = set()
        self._starts_until: dict[NodeId, float] = {}

    def play(self) -> Tally:
        """Play the pattern; return what became of its requests."""
        run_virtually(self._play())
        return self.tally

    def draw(self) -> int:
        """Return a seed."""
        return self._randomness.getrandbits(32)

    def draw_share(self) -> float:
        """Return a number from 0 up to 1."""
        return self._randomness.random()

    def starts_until(self, node: ModelledNode) -> float:
        """Return until when a node that has started anew knows its data centre only."""
        return self._starts_until.get(node.peer.node, 0.0)

    def arrived(self, call: RoutedCall) -> bool:
        """Note that a call reaches a backend server; return whether its run is a repeat."""
        by_repeat = call.request_id in self._calls_of_repeats
        now = self._clock.now()
        return self.tally.arrivals.arrived(call.service, call.request_id, now, by_repeat=by_repeat)

    async def ask(
        self, entry: ModelledNode, route: RouteTraits, time_left: float, *, by_repeat: bool
    ) -> Outcome:
        """Send one request to a node as a caller beside it, or the backend server, does."""
        now = self._clock.now()
        self._requests += 1
        if by_repeat:
            self._calls_of_repeats.add(RequestId(str(self._requests)))
        time_left = min(time_left, route.timeout)
        call = RoutedCall(
            request_id=RequestId(str(self._requests)),
            route=route.name,
            service=route.service,
            caller_service=entry.peer.service,
            method=b"GET",
            target=b"/",
            headers=[],
            body=b"",
            received=now,
            deadline=now + time_left,
            target_latency=route.target,
            priority=route.priority,
            repeatable=route.repeatable,
            max_attempts=2,
            sighting=entry.running.sighting(),
            by_repeat=entry.running.repeated(route.name),
        )
        try:
            async with asyncio.timeout(time_left):
                return (await entry.dispatcher.dispatch(call)).outcome
        except TimeoutError:
            return Lost(ResultCode.DEADLINE_DURING_RUN)

    async def _play(self) -> None:
        for service in self._pattern.services:
            for number in range(service.servers):
                self._add_node(service.name, number)
        peers = [node.peer for node in self.node_by_id.values()]
        for node in self.node_by_id.values():
            node.listed(peers)
        async with asyncio.TaskGroup() as callers:
            for trouble in self._pattern.troubles:
                if trouble.kind is Befall.NODE_STARTS:
                    callers.create_task(self._start_nodes(trouble, peers))
            for route in self._pattern.routes:
                if route.per_second > 0:
                    callers.create_task(self._arrivals(route, callers))
        for node in self.node_by_id.values():
            self.tally.reads += node.reader.reads
            node.admitter.close()
            node.hop.close()
        # Cancelled tasks end in the next turn of the loop.
        await asyncio.sleep(0)

    def _add_node(self, service: ServiceName, number: int) -> None:
        traits = next(s for s in self._pattern.services if s.name == service)
        troubles = [
            t for t in self._pattern.troubles if _befalls(t, service, number, traits.servers)
        ]
        server = ModelledServer(traits.traits, troubles, random.Random(self.draw()), self._clock)
        peer = Peer(
            node=NodeId(f"{service}-{number}"),
            address=f"127.0.0.1:{10_000 + len(self.node_by_id)}",
            service=service,
            data_centre=DataCentre(f"dc-{number % DATA_CENTRES}"),
        )
        self.node_by_id[peer.node] = ModelledNode(peer, server, self, self._clock)

    async def _start_nodes(self, trouble: Trouble, peers: list[Peer]) -> None:
        await asyncio.sleep(trouble.at)
        nodes = list(self.node_by_id.values())
        started = self._randomness.sample(nodes, round(trouble.share * len(nodes)))
        for node in started:
            self._starts_until[node.peer.node] = trouble.at + trouble.lasts
            node.begin()
            node.listed(peers)
        await asyncio.sleep(trouble.lasts)
        for node in started:
            node.listed(peers)

    async def _arrivals(self, route: RouteTraits, callers: asyncio.TaskGroup) -> None:
        entries = list(self.node_by_id.values())
        while self._clock.now() < self._pattern.seconds:
            burst = self._strength(Befall.BURST, 1.0)
            await asyncio.sleep(self._randomness.expovariate(route.per_second * burst))
            there = [entry for entry in entries if not entry.server.is_gone()]
            entry = there[self._randomness.randrange(len(there))]
            callers.create_task(self._caller(entry, route))

    async def _caller(self, entry: ModelledNode, route: RouteTraits) -> None:
        begun = self._clock.now()
        storm = self._strength(Befall.RETRIES, 0.0)
        retries = max(route.retries, int(storm))
        outcome = await self._ask(entry, route, route.timeout)
        while retries > 0 and _may_retry(outcome, route):
            retries -= 1
            wait = outcome.retry_after if isinstance(outcome, Refused) else IMPATIENT_SECONDS
            await asyncio.sleep(IMPATIENT_SECONDS if storm else wait)
            left = route.timeout - (self._clock.now() - begun)
            outcome = await self._ask(entry, route, left)
        self._count(route, begun, outcome)

    async def _ask(self, entry: ModelledNode, route: RouteTraits, time_left: float) -> Outcome:
        self.tally.arrivals.requested(route.service, self._clock.now())
        return await self.ask(entry, route, time_left, by_repeat=False)

    def _count(self, route: RouteTraits, begun: float, outcome: Outcome) -> None:
        tally = self.tally
        took = self._clock.now() - begun
        worth = 0.0
        if isinstance(outcome, WholeAnswer) and outcome.status == SUCCESS:
            in_time = took <= route.target
            worth = route.worth if in_time else route.late_worth
            tally.in_time += in_time
            tally.late += not in_time
            tally.seconds.append(took)
        elif isinstance(outcome, Refused):
            tally.refused += 1
        else:
            tally.failed += 1
        second = int(begun)
        tally.owed += route.worth
        tally.earned += worth
        tally.owed_by_second[second] = tally.owed_by_second.get(second, 0.0) + route.worth
        tally.earned_by_second[second] = tally.earned_by_second.get(second, 0.0) + worth

    def _strength(self, kind: Befall, otherwise: float) -> float:
        now = self._clock.now()
        for trouble in self._pattern.troubles:
            if trouble.kind is kind and trouble.at <= now < trouble.at + trouble.lasts:
                return trouble.strength
        return otherwise


def _befalls(trouble: Trouble, service: ServiceName, number: int, servers: int) -> bool:
    if trouble.service and trouble.service != service:
        return False
    return number < max(1, round(trouble.share * servers))


def _may_retry(outcome: Outcome, route: RouteTraits) -> bool:
    if isinstance(outcome, Refused):
        return True
    failed = isinstance(outcome, Lost) or outcome.status != SUCCESS
    return failed and route.repeatable
