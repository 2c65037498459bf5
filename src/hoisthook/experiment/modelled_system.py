"""Simulation of the nodes, backend servers and callers of a load pattern on virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from hoisthook.experiment.load_pattern import DisruptionKind
from hoisthook.experiment.load_pattern import LoadResults
from hoisthook.experiment.modelled_node import SUCCESS
from hoisthook.experiment.modelled_node import ModelledNode
from hoisthook.experiment.modelled_server import ModelledServer
from hoisthook.experiment.virtual_loop import run_virtually
from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import RequestId
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.node.loop_clock import LoopClock
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.experiment.load_pattern import Disruption
    from hoisthook.experiment.load_pattern import LoadPattern
    from hoisthook.experiment.load_pattern import RouteTraits
    from hoisthook.identity import RouteName
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.outcome import Outcome


DATA_CENTRES = 3
# Delay before a retry by callers that do not back off.
IMMEDIATE_RETRY_SECONDS = 0.01


class ModelledSystem:
    """Simulates one load pattern.

    Parameters
    ----------
    pattern : LoadPattern
        The load pattern.
    seed : int
        Seed of all random numbers.
    """

    def __init__(self, pattern: LoadPattern, seed: int) -> None:
        self._pattern = pattern
        self._randomness = random.Random(seed)
        self._requests = 0
        self._clock = LoopClock()
        self.route_by_name: dict[RouteName, RouteTraits] = {r.name: r for r in pattern.routes}
        self.node_by_id: dict[NodeId, ModelledNode] = {}
        self.results = LoadResults()
        self._calls_of_repeats: set[RequestId] = set()
        self._partial_view_until_by_node: dict[NodeId, float] = {}

    def play(self) -> LoadResults:
        """Simulate the pattern and return the outcomes of its requests."""
        run_virtually(self._play())
        return self.results

    def draw(self) -> int:
        """Return a random seed."""
        return self._randomness.getrandbits(32)

    def draw_share(self) -> float:
        """Return a random number from 0 to below 1."""
        return self._randomness.random()

    def partial_view_until(self, node: ModelledNode) -> float:
        """Return the time until which a restarted node knows only peers of its data centre."""
        return self._partial_view_until_by_node.get(node.peer.node, 0.0)

    def record_arrival(self, call: RoutedCall) -> bool:
        """Record an arrival at a backend server; return whether its execution is a repeat."""
        by_repeat = call.request_id in self._calls_of_repeats
        now = self._clock.now()
        return self.results.arrivals.arrived(
            call.service, call.request_id, now, by_repeat=by_repeat
        )

    async def send_request(
        self, ingress: ModelledNode, route: RouteTraits, time_left: float, *, by_repeat: bool
    ) -> Outcome:
        """Send a request to a node, as a local caller or the local backend server does."""
        now = self._clock.now()
        self._requests += 1
        if by_repeat:
            self._calls_of_repeats.add(RequestId(str(self._requests)))
        time_left = min(time_left, route.timeout)
        call = RoutedCall(
            request_id=RequestId(str(self._requests)),
            route=route.name,
            service=route.service,
            caller_service=ingress.peer.service,
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
            idle_observation=ingress.running.idle_observation(),
            by_repeat=ingress.running.repeat_probability(route.name),
        )
        try:
            async with asyncio.timeout(time_left):
                return (await ingress.dispatcher.dispatch(call)).outcome
        except TimeoutError:
            return Lost(ResultCode.DEADLINE_DURING_RUN)

    async def _play(self) -> None:
        for service in self._pattern.services:
            for number in range(service.servers):
                self._add_node(service.name, number)
        peers = [node.peer for node in self.node_by_id.values()]
        for node in self.node_by_id.values():
            node.add_peers(peers)
        async with asyncio.TaskGroup() as callers:
            for disruption in self._pattern.troubles:
                if disruption.kind is DisruptionKind.NODE_STARTS:
                    callers.create_task(self._restart_nodes(disruption, peers))
            for route in self._pattern.routes:
                if route.per_second > 0:
                    callers.create_task(self._generate_requests(route, callers))
        for node in self.node_by_id.values():
            self.results.reads += node.reader.reads
            node.admitter.close()
            node.hop.close()
        # Cancelled tasks finish in the next iteration of the event loop.
        await asyncio.sleep(0)

    def _add_node(self, service: ServiceName, number: int) -> None:
        traits = next(s for s in self._pattern.services if s.name == service)
        disruptions = [
            d for d in self._pattern.troubles if _disrupts(d, service, number, traits.servers)
        ]
        server = ModelledServer(traits.traits, disruptions, random.Random(self.draw()), self._clock)
        peer = Peer(
            node=NodeId(f"{service}-{number}"),
            address=f"127.0.0.1:{10_000 + len(self.node_by_id)}",
            service=service,
            data_centre=DataCentre(f"dc-{number % DATA_CENTRES}"),
        )
        self.node_by_id[peer.node] = ModelledNode(peer, server, self, self._clock)

    async def _restart_nodes(self, disruption: Disruption, peers: list[Peer]) -> None:
        await asyncio.sleep(disruption.at)
        nodes = list(self.node_by_id.values())
        restarted = self._randomness.sample(nodes, round(disruption.share * len(nodes)))
        for node in restarted:
            self._partial_view_until_by_node[node.peer.node] = disruption.at + disruption.lasts
            node.restart()
            node.add_peers(peers)
        await asyncio.sleep(disruption.lasts)
        for node in restarted:
            node.add_peers(peers)

    async def _generate_requests(self, route: RouteTraits, callers: asyncio.TaskGroup) -> None:
        ingresses = list(self.node_by_id.values())
        while self._clock.now() < self._pattern.seconds:
            burst = self._strength(DisruptionKind.BURST, 1.0)
            await asyncio.sleep(self._randomness.expovariate(route.per_second * burst))
            reachable = [ingress for ingress in ingresses if not ingress.server.is_gone()]
            if not reachable:
                self._count_outcome(route, self._clock.now(), Lost(ResultCode.ANSWER_LOST))
                continue
            ingress = reachable[self._randomness.randrange(len(reachable))]
            callers.create_task(self._run_caller(ingress, route))

    async def _run_caller(self, ingress: ModelledNode, route: RouteTraits) -> None:
        sent_at = self._clock.now()
        retry_strength = self._strength(DisruptionKind.RETRIES, 0.0)
        retries = max(route.retries, int(retry_strength))
        outcome = await self._send_caller_request(ingress, route, route.timeout)
        while retries > 0 and _may_retry(outcome, route):
            retries -= 1
            backoff = (
                outcome.retry_after if isinstance(outcome, Refused) else IMMEDIATE_RETRY_SECONDS
            )
            await asyncio.sleep(IMMEDIATE_RETRY_SECONDS if retry_strength else backoff)
            time_left = route.timeout - (self._clock.now() - sent_at)
            outcome = await self._send_caller_request(ingress, route, time_left)
        self._count_outcome(route, sent_at, outcome)

    async def _send_caller_request(
        self, ingress: ModelledNode, route: RouteTraits, time_left: float
    ) -> Outcome:
        self.results.arrivals.requested(route.service, self._clock.now())
        return await self.send_request(ingress, route, time_left, by_repeat=False)

    def _count_outcome(self, route: RouteTraits, sent_at: float, outcome: Outcome) -> None:
        results = self.results
        seconds = self._clock.now() - sent_at
        value = 0.0
        if isinstance(outcome, CompleteAnswer) and outcome.status == SUCCESS:
            in_time = seconds <= route.target
            value = route.worth if in_time else route.late_worth
            results.in_time += in_time
            results.late += not in_time
            results.seconds.append(seconds)
        elif isinstance(outcome, Refused):
            results.refused += 1
        else:
            results.failed += 1
        second = int(sent_at)
        results.offered += route.worth
        results.earned += value
        results.offered_by_second[second] = results.offered_by_second.get(second, 0.0) + route.worth
        results.earned_by_second[second] = results.earned_by_second.get(second, 0.0) + value

    def _strength(self, kind: DisruptionKind, default: float) -> float:
        now = self._clock.now()
        for disruption in self._pattern.troubles:
            if disruption.kind is kind and disruption.at <= now < disruption.at + disruption.lasts:
                return disruption.strength
        return default


def _disrupts(disruption: Disruption, service: ServiceName, number: int, servers: int) -> bool:
    if disruption.service and disruption.service != service:
        return False
    return number < max(1, round(disruption.share * servers))


def _may_retry(outcome: Outcome, route: RouteTraits) -> bool:
    if isinstance(outcome, Refused):
        return True
    failed = isinstance(outcome, Lost) or outcome.status != SUCCESS
    return failed and route.repeatable
