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


class Crowd:
    """Nodes that gossip in memory, one round each at a time."""

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

    def cut(self, left: set[int], right: set[int]) -> None:
        for number, transport in enumerate(self.transports):
            side = right if number in left else left if number in right else set()
            transport.cut = {("127.0.0.1", 1 + other) for other in side}

    def known(self, number: int) -> set[str]:
        return set(self.nodes[number].table.serving("svc"))


@pytest.fixture
def crowd() -> Crowd:
    return Crowd(8)


async def test_all_learn_of_all(crowd: Crowd) -> None:
    await crowd.rounds(8)
    assert all(len(crowd.known(number)) == 8 for number in range(8))


async def test_drain_is_known_everywhere_within_three_seconds(crowd: Crowd) -> None:
    await crowd.rounds(8)
    crowd.nodes[3].table.update_me(crowd.clock.now(), takes_work=False)
    await crowd.nodes[3].announce()
    await crowd.rounds(6)
    assert all("n3" not in crowd.known(number) for number in range(8))


async def test_crashed_node_is_dead_everywhere(crowd: Crowd) -> None:
    await crowd.rounds(8)
    crowd.cut({5}, set(range(8)) - {5})
    for transport in crowd.transports:
        transport.cut.add(("127.0.0.1", 6))
    await crowd.rounds(14, without=(5,))
    others = [number for number in range(8) if number != 5]
    assert all("n5" not in crowd.known(number) for number in others)


async def test_parted_halves_find_each_other_again(crowd: Crowd) -> None:
    await crowd.rounds(8)
    left, right = set(range(4)), set(range(4, 8))
    crowd.cut(left, right)
    await crowd.rounds(20)
    assert crowd.known(0) == {"n0", "n1", "n2", "n3"}
    crowd.cut(set(), set())
    await crowd.rounds(40)
    assert all(len(crowd.known(number)) == 8 for number in range(8))


async def test_groups_that_formed_apart_at_the_start_find_each_other() -> None:
    """Each knew a peer, so that none asked the seed that had been slow to start."""
    crowd = Crowd(4)
    for node in crowd.nodes:
        node.seeds = [("127.0.0.1", 1), ("127.0.0.1", 2)]
    crowd.cut({0, 2}, {1, 3})
    await crowd.rounds(12)
    assert crowd.known(0) == {"n0", "n2"}
    crowd.cut(set(), set())
    await crowd.rounds(20)
    assert all(len(crowd.known(number)) == 4 for number in range(4))


async def test_woken_node_comes_back_by_refuting(crowd: Crowd) -> None:
    await crowd.rounds(8)
    for transport in crowd.transports:
        transport.cut.add(("127.0.0.1", 3))
    await crowd.rounds(14, without=(2,))
    assert "n2" not in crowd.known(0)
    for transport in crowd.transports:
        transport.cut.clear()
    await crowd.rounds(25)
    assert all("n2" in crowd.known(number) for number in range(8))


async def test_replaced_node_is_known_by_its_new_incarnation(crowd: Crowd) -> None:
    await crowd.rounds(8)
    crowd.nodes.pop(7)
    replacement = crowd.add("n7", 8)
    await crowd.rounds(10)
    seen = {node.table.get("n7").incarnation for node in crowd.nodes}
    assert seen == {replacement.table.me.incarnation}


async def test_farewell_reaches_all(crowd: Crowd) -> None:
    await crowd.rounds(8)
    await crowd.nodes[4].leave()
    await crowd.rounds(6, without=(4,))
    others = [number for number in range(8) if number != 4]
    assert all(crowd.nodes[n].table.get("n4").status is MemberStatus.LEFT for n in others)


async def test_wrongly_suspected_node_refutes_in_one_round(crowd: Crowd) -> None:
    """Left to chance, the word reached it too late, and it was declared dead."""
    await crowd.rounds(8)
    for number in range(7):
        doubter = crowd.nodes[number]
        doubter.table.suspect(doubter.table.get("n7"), crowd.clock.now())
        await doubter.round()
        assert doubter.table.get("n7").status is MemberStatus.ALIVE


async def test_differing_tables_are_reconciled_by_the_parts_that_differ(crowd: Crowd) -> None:
    """Whole tables of 24,000 nodes would exceed a node's bytes many times."""
    await crowd.rounds(20)
    for transport in crowd.transports:
        transport.fetched.clear()
    # News that only one node has, and that it does not hand on any more.
    lone = crowd.nodes[0].table
    lone.merge(member("stranger"), crowd.clock.now())
    while lone.has_news:
        lone.take_news()
    await crowd.rounds(60)
    assert all(node.table.get("stranger") for node in crowd.nodes)
    fetched = [buckets for transport in crowd.transports for buckets in transport.fetched]
    assert fetched
    assert all(len(buckets) == 1 for buckets in fetched)


async def test_peer_that_talks_nonsense_does_not_end_gossip(crowd: Crowd) -> None:
    await crowd.rounds(8)
    nonsense = msgspec.structs.replace(member("odd"), address="nowhere")
    assert not crowd.nodes[0].table.merge(nonsense, crowd.clock.now())
    await crowd.rounds(30)
    assert crowd.known(0) >= {"n0", "n7"}


async def test_configuration_spreads_both_ways(crowd: Crowd) -> None:
    """Fetched only by who asks, it would take half as many rounds again."""
    await crowd.rounds(8)
    asked: list[tuple[str, int]] = []

    async def fetch(address: tuple[str, int], offset: int) -> None:
        asked.append((address, offset))

    told = crowd.nodes[1]
    told.on_peer_offset = fetch
    crowd.nodes[0].configuration_offset = lambda: 7
    message = crowd.nodes[0].message_for(None)
    told.receive(message)
    told.receive(message)
    await asyncio.sleep(0)
    assert asked == [(("127.0.0.1", 1), 7)]
