"""Quota coordinators of many nodes on virtual time, with network partitions and node failures."""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.experiment.modelled_node import NullEventSink
from hoisthook.experiment.virtual_loop import run_virtually
from hoisthook.identity import Address
from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import TeamName
from hoisthook.teams.quota_bounds import QuotaBounds
from hoisthook.teams.quota_coordinator import QuotaCoordinator
from hoisthook.teams.quota_owners import QuotaOwners
from hoisthook.teams.quota_verdict import Token

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection

    from hoisthook.teams.quota_messages import QuotaReply
    from hoisthook.teams.quota_messages import QuotaRequest
    from hoisthook.teams.quota_owners import QuotaPeer
    from hoisthook.teams.team import Quota
    from hoisthook.teams.team import Team

BOUNDS = QuotaBounds(window=5.0, over_share=0.1, extra=20.0)
# Timeout of a quota request, and the one-way latency within a data centre and between two.
TIMEOUT_SECONDS = 0.15
LOCAL_LATENCY_SECONDS = 0.001
REMOTE_LATENCY_SECONDS = 0.003
# Nodes exchange messages as often as they poll the readers of their data centre.
CONTACT_SECONDS = 0.6
# Longest time until backend servers have rejected a request.
REJECTION_SECONDS = 1.0


class LoopTime:
    """A clock that reads the time of the virtual event loop."""

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()


@dataclass(frozen=True)
class NodeLocation:
    """A node and its data centre."""

    node: NodeId
    data_centre: DataCentre


class OtherQuotaPeer:
    """A node as a quota peer of another node."""

    def __init__(self, location: NodeLocation, *, is_self: bool) -> None:
        self.peer = location
        self.address: Address = (location.node, 1)
        self.is_self = is_self


class Node:
    """One node's quota coordinator, and the nodes that it can reach.

    Attributes
    ----------
    partition : int
        Network partition that the node is in; messages pass within one only.
    alive : bool
        Whether the node is running.
    running : asyncio.Event
        Cleared while the node is paused; messages to it are read when it goes on.
    """

    def __init__(self, fleet: Fleet, location: NodeLocation) -> None:
        self.fleet = fleet
        self.place = location
        self.partition = 0
        self.alive = True
        self.running = asyncio.Event()
        self.running.set()
        # Nodes that this node cannot reach although others can.
        self.cannot_reach: set[NodeId] = set()
        self.quota_coordinator = self._new_quota_coordinator()

    def _new_quota_coordinator(self) -> QuotaCoordinator:
        return QuotaCoordinator(BOUNDS, self.place.data_centre, self, LoopTime(), NullEventSink())

    def restart(self) -> None:
        """Start again without the state from before."""
        self.alive = True
        self.quota_coordinator = self._new_quota_coordinator()
        self.quota_coordinator.set_owners(self.fleet.owners_for(self))

    async def query_peer(self, quota_peer: QuotaPeer, request: QuotaRequest) -> QuotaReply | None:
        """Return a node's answer, or None if the request or the answer is lost."""
        other = self.fleet.by_node[quota_peer.peer.node]
        near = other.place.data_centre == self.place.data_centre
        if self.reaches(other) and not other.running.is_set():
            self.fleet.answer_late(other, request)
            await asyncio.sleep(TIMEOUT_SECONDS)
            return None
        if not self.reaches(other):
            await asyncio.sleep(TIMEOUT_SECONDS)
            return None
        await asyncio.sleep(LOCAL_LATENCY_SECONDS if near else REMOTE_LATENCY_SECONDS)
        if near:
            other.quota_coordinator.peer_contacted()
        answer = await other.quota_coordinator.answer(request)
        await asyncio.sleep(LOCAL_LATENCY_SECONDS if near else REMOTE_LATENCY_SECONDS)
        return answer if self.reaches(other) else None

    def reaches(self, other: Node) -> bool:
        """Return whether messages from this node reach another."""
        if other.place.node in self.cannot_reach:
            return False
        return other.alive and self.alive and other.partition == self.partition


class Fleet:
    """Nodes in data centres, and counts of the requests by team.

    Parameters
    ----------
    per_data_centre : collection of int
        Number of nodes of each data centre.
    seed : int
        Seeds all random choices.

    Attributes
    ----------
    admitted : dict
        Times at which requests of a team were admitted, in virtual seconds.
    requested : dict
        Number of requests of a team.
    over_quota, unknown : dict
        Number of requests of a team that were rejected since it was over its quota, or for
        another reason such as an unreachable quota owner.
    not_run_share : float
        Share of the admitted requests that backend servers then reject.
    """

    def __init__(self, per_data_centre: Collection[int], seed: int) -> None:
        self.random = random.Random(seed)
        self.by_node: dict[NodeId, Node] = {}
        self.admitted: dict[TeamName, list[float]] = defaultdict(list)
        self.requested: dict[TeamName, int] = defaultdict(int)
        self.requested_by_rank: dict[int, int] = defaultdict(int)
        self.admitted_by_rank: dict[int, int] = defaultdict(int)
        self.over_quota: dict[TeamName, int] = defaultdict(int)
        self.unknown: dict[TeamName, int] = defaultdict(int)
        self.not_run_share = 0.0
        self._request_tasks: list[asyncio.Task[None]] = []
        self._late_tasks: list[asyncio.Task[None]] = []
        for number, count in enumerate(per_data_centre):
            for index in range(count):
                name = NodeId(f"node-{number}-{index}")
                self.by_node[name] = Node(self, NodeLocation(name, DataCentre(f"dc-{number}")))
        for node in self.by_node.values():
            node.quota_coordinator.set_owners(self.owners_for(node))

    @property
    def nodes(self) -> list[Node]:
        """Return all nodes."""
        return list(self.by_node.values())

    def owners_for(self, node: Node) -> QuotaOwners:
        """Return the owners of the quotas from a node's point of view."""
        return QuotaOwners(
            [OtherQuotaPeer(other.place, is_self=other is node) for other in self.by_node.values()]
        )

    async def keep_in_contact(self) -> None:
        """Keep each node in contact with a random one of its data centre."""
        while True:
            await asyncio.sleep(CONTACT_SECONDS)
            for node in self.nodes:
                near = [
                    other
                    for other in self.nodes
                    if other is not node
                    and other.place.data_centre == node.place.data_centre
                    and node.reaches(other)
                ]
                if near:
                    self.random.choice(near).quota_coordinator.peer_contacted()
                    node.quota_coordinator.peer_contacted()

    async def send_requests(
        self,
        team: Team,
        per_second: float,
        seconds: float,
        nodes: Collection[Node] | None = None,
        *,
        rank: int = 0,
    ) -> None:
        """Send requests of a team to random nodes as a Poisson process."""
        targets = list(self.nodes if nodes is None else nodes)
        end_time = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_time:
            await asyncio.sleep(self.random.expovariate(per_second))
            node = self.random.choice(targets)
            if node.alive:
                self._request_tasks.append(asyncio.create_task(self._request(node, team, rank)))

    async def wait_for_requests(self) -> None:
        """Wait until all requests sent so far are resolved."""
        await asyncio.gather(*self._request_tasks)

    async def _request(self, node: Node, team: Team, rank: int) -> None:
        self.requested[team.name] += 1
        self.requested_by_rank[rank] += 1
        assert team.quota is not None
        await node.running.wait()
        outcome = await node.quota_coordinator.admit(team.name, team.quota, rank)
        if isinstance(outcome, Token):
            if self.random.random() < self.not_run_share:
                # Rejected after a delay by backend servers without free slots.
                await asyncio.sleep(self.random.random() * REJECTION_SECONDS)
                node.quota_coordinator.not_run(team.name, team.quota, outcome)
                return
            self.admitted[team.name].append(asyncio.get_running_loop().time())
            self.admitted_by_rank[rank] += 1
        elif outcome.code.value.http_status == 429:
            self.over_quota[team.name] += 1
        else:
            self.unknown[team.name] += 1

    def answer_late(self, node: Node, request: QuotaRequest) -> None:
        """Have a paused node read a request when it goes on; nobody waits for its reply then."""

        async def answer() -> None:
            await node.running.wait()
            await node.quota_coordinator.answer(request)

        self._late_tasks.append(asyncio.create_task(answer()))

    async def kill(self, node: Node, seconds: float) -> None:
        """Kill a node and start it again after a time."""
        node.alive = False
        await asyncio.sleep(seconds)
        node.restart()

    async def pause(self, node: Node, seconds: float) -> None:
        """Pause a node for a time."""
        node.running.clear()
        await asyncio.sleep(seconds)
        node.running.set()

    def close(self) -> None:
        """Close the quota coordinators of all nodes."""
        for node in self.nodes:
            node.quota_coordinator.close()

    def most_in_window(self, team: Team) -> int:
        """Return the largest number of requests of a team admitted in any window."""
        times = sorted(self.admitted[team.name])
        window_ends = (bisect_right(times, at + BOUNDS.window - 1e-9) for at in times)
        return max((end - start for start, end in enumerate(window_ends)), default=0)


def window_limit(quota: Quota) -> float:
    """Return how many requests of a quota may be admitted in a window."""
    within = quota.per_second * BOUNDS.window + quota.burst
    return within * (1.0 + BOUNDS.over_share) + BOUNDS.extra


def run_scenario(
    per_data_centre: Collection[int], seed: int, scenario: Callable[[Fleet], Awaitable[None]]
) -> Fleet:
    """Run a scenario on a fleet in virtual time; return the fleet with its counts."""
    fleets: list[Fleet] = []

    async def main() -> None:
        fleet = Fleet(per_data_centre, seed)
        fleets.append(fleet)
        contact = asyncio.create_task(fleet.keep_in_contact())
        await asyncio.sleep(1.0)
        await scenario(fleet)
        await fleet.wait_for_requests()
        contact.cancel()
        fleet.close()

    run_virtually(main())
    return fleets[0]
