from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from hoisthook.membership.gossip import Gossip
from hoisthook.membership.member import MemberStatus
from hoisthook.membership.member_table import MemberTable
from tests.fakes import FakeClock
from tests.fakes import FakePeer
from tests.fakes import FakePeers
from tests.membership.test_member_table import member


class InMemoryCluster:
    """Nodes that gossip in memory, each running one round in turn."""

    def __init__(self, count: int) -> None:
        self.clock = FakeClock()
        self.peer_by_address: dict[tuple[str, int], FakePeer] = {}
        self.transports: list[FakePeers] = []
        self.nodes: list[Gossip] = []
        self.incarnations = 0
        for number in range(count):
            self.add(f"n{number}", 1 + number)

    def add(self, name: str, port: int) -> Gossip:
        transport = FakePeers(self.peer_by_address)
        self.incarnations += 1
        me = msgspec.structs.replace(
            member(name), address=f"127.0.0.1:{port}", incarnation=f"i{self.incarnations}"
        )
        randomness = random.Random(port)
        node = Gossip(
            MemberTable(me, randomness),
            transport,
            self.clock,
            randomness,
            seeds=[("127.0.0.1", 1)],
            interval=0.5,
        )
        self.peer_by_address["127.0.0.1", port] = FakePeer(node)
        self.transports.append(transport)
        self.nodes.append(node)
        return node

    async def rounds(self, count: int, *, without: tuple[int, ...] = ()) -> None:
        for _ in range(count):
            self.clock.advance(0.5)
            for number, node in enumerate(self.nodes):
                if number not in without:
                    await node.round()

    def partition(self, left: set[int], right: set[int]) -> None:
        for number, transport in enumerate(self.transports):
            side = right if number in left else left if number in right else set()
            transport.cut = {("127.0.0.1", 1 + other) for other in side}

    def known_to(self, number: int) -> set[str]:
        return set(self.nodes[number].table.serving("svc"))


@pytest.fixture
def cluster() -> InMemoryCluster:
    return InMemoryCluster(8)


async def test_every_node_learns_of_every_other(cluster: InMemoryCluster) -> None:
    await cluster.rounds(8)
    assert all(len(cluster.known_to(number)) == 8 for number in range(8))


async def test_drain_is_known_everywhere_within_three_seconds(cluster: InMemoryCluster) -> None:
    await cluster.rounds(8)
    cluster.nodes[3].table.update_me(cluster.clock.now(), takes_work=False)
    await cluster.nodes[3].announce()
    await cluster.rounds(6)
    assert all("n3" not in cluster.known_to(number) for number in range(8))


async def test_crashed_node_is_dead_everywhere(cluster: InMemoryCluster) -> None:
    await cluster.rounds(8)
    cluster.partition({5}, set(range(8)) - {5})
    for transport in cluster.transports:
        transport.cut.add(("127.0.0.1", 6))
    await cluster.rounds(14, without=(5,))
    others = [number for number in range(8) if number != 5]
    assert all("n5" not in cluster.known_to(number) for number in others)


async def test_partitioned_halves_rejoin(cluster: InMemoryCluster) -> None:
    await cluster.rounds(8)
    left, right = set(range(4)), set(range(4, 8))
    cluster.partition(left, right)
    await cluster.rounds(20)
    assert cluster.known_to(0) == {"n0", "n1", "n2", "n3"}
    cluster.partition(set(), set())
    await cluster.rounds(40)
    assert all(len(cluster.known_to(number)) == 8 for number in range(8))


async def test_groups_that_formed_apart_at_the_start_find_each_other() -> None:
    """Guards against groups that stay apart because a seed started late.

    Each node knew a peer by then, so that none contacted the seed.
    """
    cluster = InMemoryCluster(4)
    for node in cluster.nodes:
        node.seeds = [("127.0.0.1", 1), ("127.0.0.1", 2)]
    cluster.partition({0, 2}, {1, 3})
    await cluster.rounds(12)
    assert cluster.known_to(0) == {"n0", "n2"}
    cluster.partition(set(), set())
    await cluster.rounds(20)
    assert all(len(cluster.known_to(number)) == 4 for number in range(4))


async def test_resumed_node_returns_by_refuting_its_death(cluster: InMemoryCluster) -> None:
    await cluster.rounds(8)
    for transport in cluster.transports:
        transport.cut.add(("127.0.0.1", 3))
    await cluster.rounds(14, without=(2,))
    assert "n2" not in cluster.known_to(0)
    for transport in cluster.transports:
        transport.cut.clear()
    await cluster.rounds(25)
    assert all("n2" in cluster.known_to(number) for number in range(8))


async def test_replaced_node_is_known_by_its_new_incarnation(cluster: InMemoryCluster) -> None:
    await cluster.rounds(8)
    cluster.nodes.pop(7)
    replacement = cluster.add("n7", 8)
    await cluster.rounds(10)
    seen = {node.table.get("n7").incarnation for node in cluster.nodes}
    assert seen == {replacement.table.me.incarnation}


async def test_leave_message_reaches_every_node(cluster: InMemoryCluster) -> None:
    await cluster.rounds(8)
    await cluster.nodes[4].leave()
    await cluster.rounds(6, without=(4,))
    others = [number for number in range(8) if number != 4]
    assert all(cluster.nodes[n].table.get("n4").status is MemberStatus.LEFT for n in others)


async def test_wrongly_suspected_node_refutes_in_one_round(cluster: InMemoryCluster) -> None:
    """Guards against a healthy node declared dead before it could refute.

    With random peers alone, the suspicion reached the node too late.
    """
    await cluster.rounds(8)
    for number in range(7):
        suspecting = cluster.nodes[number]
        suspecting.table.suspect(suspecting.table.get("n7"), cluster.clock.now())
        await suspecting.round()
        assert suspecting.table.get("n7").status is MemberStatus.ALIVE


async def test_differing_tables_are_reconciled_by_the_parts_that_differ(
    cluster: InMemoryCluster,
) -> None:
    """Exchanging complete tables of 24,000 nodes would exceed a node's bandwidth many times."""
    await cluster.rounds(20)
    for transport in cluster.transports:
        transport.fetched.clear()
    # A record that only one node has, and that it does not send as an update any more.
    first_table = cluster.nodes[0].table
    first_table.merge(member("stranger"), cluster.clock.now())
    while first_table.has_updates:
        first_table.take_updates()
    await cluster.rounds(60)
    assert all(node.table.get("stranger") for node in cluster.nodes)
    fetched = [buckets for transport in cluster.transports for buckets in transport.fetched]
    assert fetched
    assert all(len(buckets) == 1 for buckets in fetched)


async def test_malformed_member_record_does_not_end_gossip(cluster: InMemoryCluster) -> None:
    await cluster.rounds(8)
    malformed = msgspec.structs.replace(member("odd"), address="nowhere")
    assert not cluster.nodes[0].table.merge(malformed, cluster.clock.now())
    await cluster.rounds(30)
    assert cluster.known_to(0) >= {"n0", "n7"}


async def test_configuration_spreads_both_ways(cluster: InMemoryCluster) -> None:
    """If only the node that starts an exchange fetched, it would take 1.5 times as many rounds."""
    await cluster.rounds(8)
    fetched: list[tuple[str, int]] = []

    async def fetch(address: tuple[str, int], offset: int) -> None:
        fetched.append((address, offset))

    receiver = cluster.nodes[1]
    receiver.on_peer_offset = fetch
    cluster.nodes[0].configuration_offset = lambda: 7
    message = cluster.nodes[0].message_for(None)
    receiver.receive(message)
    receiver.receive(message)
    await asyncio.sleep(0)
    assert fetched == [(("127.0.0.1", 1), 7)]
