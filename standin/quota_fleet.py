"""Desks of many nodes on virtual time, with cuts, kills and pauses between them."""

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
# How long an answer is waited for, and one way within a data centre and between two.
SILENCE_SECONDS = 0.15
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.003
# Nodes hear of each other as often as they ask their readers.
CONTACT_SECONDS = 0.6
# A request that backend servers refuse has heard so within this time.
NOT_RUN_SECONDS = 1.0


class LoopTime:
    """The virtual loop's time as a clock."""

    def now(self) -> float:
        """Return virtual seconds."""
        return asyncio.get_running_loop().time()


@dataclass(frozen=True)
class NodeLocation:
    """A node and where it stands."""

    node: NodeId
    data_centre: DataCentre


class OtherQuotaPeer:
    """A node as another sees it."""

    def __init__(self, place: NodeLocation, *, is_self: bool) -> None:
        self.peer = place
        self.address: Address = (place.node, 1)
        self.is_self = is_self


class Node:
    """One desk, and whom it can reach."""

    def __init__(self, fleet: Fleet, place: NodeLocation) -> None:
        self.fleet = fleet
        self.place = place
        self.side = 0
        self.alive = True
        # Nodes to which nothing gets through from here, though others reach them.
        self.cannot_reach: set[NodeId] = set()
        self.quota_coordinator = self._new_quota_coordinator()

    def _new_quota_coordinator(self) -> QuotaCoordinator:
        return QuotaCoordinator(BOUNDS, self.place.data_centre, self, LoopTime(), NullEventSink())

    def start_again(self) -> None:
        """Start knowing nothing of before."""
        self.alive = True
        self.quota_coordinator = self._new_quota_coordinator()
        self.quota_coordinator.set_owners(self.fleet.owners_for(self))

    async def query_peer(self, quota_peer: QuotaPeer, question: QuotaRequest) -> QuotaReply | None:
        """Return a node's answer, or None if the way there or back is cut."""
        other = self.fleet.by_node[quota_peer.peer.node]
        near = other.place.data_centre == self.place.data_centre
        if not self.reaches(other):
            await asyncio.sleep(SILENCE_SECONDS)
            return None
        await asyncio.sleep(NEAR_SECONDS if near else FAR_SECONDS)
        if near:
            other.quota_coordinator.peer_contacted()
        answer = await other.quota_coordinator.answer(question)
        await asyncio.sleep(NEAR_SECONDS if near else FAR_SECONDS)
        return answer if self.reaches(other) else None

    def reaches(self, other: Node) -> bool:
        """Return whether messages pass."""
        if other.place.node in self.cannot_reach:
            return False
        return other.alive and self.alive and other.side == self.side


class Fleet:
    """Nodes in data centres, and what each team was admitted."""

    def __init__(self, per_data_centre: Collection[int], seed: int) -> None:
        self.random = random.Random(seed)
        self.by_node: dict[NodeId, Node] = {}
        self.admitted: dict[TeamName, list[float]] = defaultdict(list)
        self.asked: dict[TeamName, int] = defaultdict(int)
        self.asked_by_rank: dict[int, int] = defaultdict(int)
        self.admitted_by_rank: dict[int, int] = defaultdict(int)
        self.over: dict[TeamName, int] = defaultdict(int)
        self.unknown: dict[TeamName, int] = defaultdict(int)
        self.not_run_share = 0.0
        self._serving: list[asyncio.Task[None]] = []
        for number, count in enumerate(per_data_centre):
            for place in range(count):
                name = NodeId(f"node-{number}-{place}")
                self.by_node[name] = Node(self, NodeLocation(name, DataCentre(f"dc-{number}")))
        for node in self.by_node.values():
            node.quota_coordinator.set_owners(self.owners_for(node))

    @property
    def nodes(self) -> list[Node]:
        """Return all nodes."""
        return list(self.by_node.values())

    def owners_for(self, node: Node) -> QuotaOwners:
        """Return who gives out quotas, as a node sees it."""
        return QuotaOwners(
            [OtherQuotaPeer(other.place, is_self=other is node) for other in self.by_node.values()]
        )

    async def keep_in_contact(self) -> None:
        """Have nodes of a data centre hear of each other."""
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

    async def press(
        self,
        team: Team,
        per_second: float,
        seconds: float,
        nodes: Collection[Node] | None = None,
        *,
        rank: int = 0,
    ) -> None:
        """Send requests at random moments to random nodes."""
        at = list(self.nodes if nodes is None else nodes)
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.random.expovariate(per_second))
            node = self.random.choice(at)
            if node.alive:
                self._serving.append(asyncio.create_task(self._one(node, team, rank)))

    async def settle(self) -> None:
        """Wait for the requests under way."""
        await asyncio.gather(*self._serving)

    async def _one(self, node: Node, team: Team, rank: int) -> None:
        self.asked[team.name] += 1
        self.asked_by_rank[rank] += 1
        assert team.quota is not None
        refused = await node.quota_coordinator.admit(team.name, team.quota, rank)
        if isinstance(refused, Token):
            if self.random.random() < self.not_run_share:
                # Refused by backend servers that are full, after a while.
                await asyncio.sleep(self.random.random() * NOT_RUN_SECONDS)
                node.quota_coordinator.not_run(team.name, team.quota, refused)
                return
            self.admitted[team.name].append(asyncio.get_running_loop().time())
            self.admitted_by_rank[rank] += 1
        elif refused.code.value.http_status == 429:
            self.over[team.name] += 1
        else:
            self.unknown[team.name] += 1

    def close(self) -> None:
        """Stop what is under way at all nodes."""
        for node in self.nodes:
            node.quota_coordinator.close()

    def most_in_window(self, team: Team) -> int:
        """Return the most requests of a team that ran in any window."""
        times = sorted(self.admitted[team.name])
        ends = (bisect_right(times, at + BOUNDS.window - 1e-9) for at in times)
        return max((end - place for place, end in enumerate(ends)), default=0)


def bound(quota: Quota) -> float:
    """Return how many may run in a window."""
    within = quota.per_second * BOUNDS.window + quota.burst
    return within * (1.0 + BOUNDS.over_share) + BOUNDS.extra


def play(
    per_data_centre: Collection[int], seed: int, story: Callable[[Fleet], Awaitable[None]]
) -> Fleet:
    """Play a story on a fleet; return it with its counts."""
    told: list[Fleet] = []

    async def main() -> None:
        fleet = Fleet(per_data_centre, seed)
        told.append(fleet)
        contact = asyncio.create_task(fleet.keep_in_contact())
        await asyncio.sleep(1.0)
        await story(fleet)
        await fleet.settle()
        contact.cancel()
        fleet.close()

    run_virtually(main())
    return told[0]
