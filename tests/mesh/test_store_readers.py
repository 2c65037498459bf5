from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.membership.poll_tree import polling_order
from hoisthook.mesh import configuration_watch
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.peer_directory import PeerDirectory
from hoisthook.mesh.store_readers import SPARE_READERS_FACTOR
from hoisthook.mesh.store_readers import StoreReaders
from hoisthook.traffic import configuration_freshness
from standin.mesh_system import ListLog
from standin.published_configuration import RouteOptions
from tests.fakes import FakeClock

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

NODES = 7
LONG_SECONDS = 60.0
READERS = 2


@pytest.fixture(autouse=True)
def long_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent waits for changes and checks from ending, so that calls can be counted."""
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(configuration_freshness, "CHECK_SHARE", LONG_SECONDS)
    monkeypatch.setattr(configuration_freshness, "STALE_SHARE", LONG_SECONDS)


async def one_data_centre(system: MeshSystem) -> tuple[list[Machine], list[Machine]]:
    """Return the readers and the other machines, all with the first configuration."""
    system.readers_per_data_centre = READERS
    for _ in range(NODES):
        await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    readers = [m for m in system.machines if not m.node._watch._readers.poll_targets()]
    return readers, [m for m in system.machines if m not in readers]


async def settled(system: MeshSystem) -> None:
    """Wait until the reads that began before the nodes knew each other are over."""
    system.publish(2, RouteOptions("shop"))
    await asyncio.wait_for(system.until_configured(2), 5.0)
    await asyncio.sleep(0.5)


async def test_few_nodes_of_a_data_centre_read_and_all_follow(system: MeshSystem) -> None:
    readers, others = await one_data_centre(system)
    assert (len(readers), len(others)) == (READERS, NODES - READERS)
    await settled(system)
    before = system.store.calls.count("log-read")
    system.publish(3, RouteOptions("shop"))
    await asyncio.wait_for(system.until_configured(3), 3.0)
    await asyncio.sleep(0.5)
    assert system.store.calls.count("log-read") - before <= READERS


async def test_unreachable_readers_are_replaced(system: MeshSystem) -> None:
    readers, others = await one_data_centre(system)
    await settled(system)
    for machine in readers:
        machine.crash()
        system.machines.remove(machine)
    system.publish(3, RouteOptions("shop"))
    await asyncio.wait_for(system.until_configured(3), 5.0)
    assert {m.node.configuration.version for m in others} == {3}
    for machine in readers:
        machine.backend.close()


async def test_nodes_of_another_data_centre_are_not_polled(system: MeshSystem) -> None:
    await one_data_centre(system)
    far = await system.add("shop", data_centre="two")
    system.merge_all_peers()
    assert far.node._watch._readers.poll_targets() == []


def test_node_that_is_no_candidate_never_reads_the_store() -> None:
    """Guards against further readers each time that a long outage excludes one more candidate."""
    peers = [
        Peer(NodeId(f"node-{n}"), f"10.0.0.{n}:1", ServiceName("shop"), DataCentre("one"))
        for n in range(12)
    ]
    order = polling_order(peers)
    first_other = order[READERS * SPARE_READERS_FACTOR]
    directory = PeerDirectory(first_other, ListLog())
    directory.merge(peers, "test")
    readers = StoreReaders(directory, FakeClock(), READERS)
    view_by_node = {view.peer.node: view for view in directory.views()}
    for peer in order[: READERS * SPARE_READERS_FACTOR - 1]:
        readers.note_store_rejection(view_by_node[peer.node])
        assert readers.poll_targets()
