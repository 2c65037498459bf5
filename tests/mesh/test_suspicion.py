"""Unreachable nodes are detected by a few nodes and suspected by all nodes of a data centre."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.identity import ServiceName
from hoisthook.mesh import peer_sync
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:

    import pytest

    from hoisthook.mesh.peer import PeerView
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

SHOP = ServiceName("shop")


def view_of(machine: Machine, other: Machine) -> PeerView:
    wanted = other.node.directory.me.node
    return next(v for v in machine.node.directory.serving(SHOP) if v.peer.node == wanted)


async def ingresses_and_two_servers(
    system: MeshSystem, data_centre: str = "two"
) -> tuple[list[Machine], Machine, Machine]:
    """Return five ingress nodes, a running node of the service and a crashed one."""
    system.readers_per_data_centre = 2
    ingresses = [await system.add("front") for _ in range(5)]
    staying = await system.add("shop")
    leaving = await system.add("shop", data_centre=data_centre)
    system.introduce_all()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    leaving.crash()
    system.machines.remove(leaving)
    return ingresses, staying, leaving


async def test_two_reports_make_all_nodes_suspect_an_unreachable_node(system: MeshSystem) -> None:
    ingresses, staying, leaving = await ingresses_and_two_servers(system)
    for ingress in ingresses[:2]:
        # Only the crashed node is left to send the request to.
        view_of(ingress, staying).close_until(asyncio.get_running_loop().time() + 0.2)
        await system.call(ingress)
    await until(lambda: all(view_of(e, leaving).suspected for e in ingresses))
    found = system.log.named("peer_unreachable")
    assert len([line for line in found if line["peer"] == "node-7"]) <= 3
    leaving.backend.close()


async def test_successful_probe_clears_the_suspicion_for_all(system: MeshSystem) -> None:
    ingresses, _, leaving = await ingresses_and_two_servers(system)
    for ingress in ingresses:
        reports = ingress.node.directory.reachability_reports
        now = asyncio.get_running_loop().time()
        reports.note(leaving.node.directory.me.node, now, reached=False)
    await until(lambda: all(view_of(e, leaving).suspected for e in ingresses))
    await system.start_again(leaving)
    ingresses[0].node._hop.probe(view_of(ingresses[0], leaving))
    await until(lambda: not any(view_of(e, leaving).suspected for e in ingresses))
    assert view_of(ingresses[1], leaving).closed_until <= asyncio.get_running_loop().time()


async def test_node_with_a_recent_own_report_is_not_suspected_on_reports_of_others(
    system: MeshSystem,
) -> None:
    ingresses, staying, _ = await ingresses_and_two_servers(system)
    status, _, _ = await system.call(ingresses[0])
    assert status == 200
    name = staying.node.directory.me.node
    ingresses[0].node.directory.others_suspect([name], asyncio.get_running_loop().time())
    assert not view_of(ingresses[0], staying).suspected


async def test_restart_clears_the_suspicion_without_a_probe(system: MeshSystem) -> None:
    ingresses, _, leaving = await ingresses_and_two_servers(system, "one")
    for ingress in ingresses:
        reports = ingress.node.directory.reachability_reports
        now = asyncio.get_running_loop().time()
        reports.note(leaving.node.directory.me.node, now, reached=False)
    await until(lambda: all(view_of(e, leaving).suspected for e in ingresses))
    await system.start_again(leaving)
    await until(lambda: not any(view_of(e, leaving).suspected for e in ingresses))


async def test_reports_sent_to_different_nodes_add_up(system: MeshSystem) -> None:
    """Guards the relay of reports in large data centres, where few nodes poll a reader directly."""
    # Each node is alone in its data centre, so that no polls are sent but those of the test.
    names = ("finder", "other", "first", "second", "reader", "gone")
    machines = {name: await system.add("shop", data_centre=name) for name in names}
    system.introduce_all()
    gone = machines.pop("gone")
    gone.crash()
    system.machines.remove(gone)
    now = asyncio.get_running_loop().time()
    for sender, receiver in (("finder", "first"), ("other", "second")):
        reachability_reports = machines[sender].node.directory.reachability_reports
        reachability_reports.note(gone.node.directory.me.node, now, reached=False)
        await machines[sender].node.sync.poll(
            machines[receiver].node.peers_address, wants_news=True
        )
    assert not view_of(machines["reader"], gone).suspected
    for middle in ("first", "second"):
        reader = machines["reader"].node.peers_address
        await machines[middle].node.sync.poll(reader, wants_news=True)
    assert view_of(machines["reader"], gone).suspected
    # In the other direction, the suspicion of the reader reaches the nodes through the middle ones.
    for sender, receiver in (("first", "reader"), ("finder", "first")):
        await machines[sender].node.sync.poll(
            machines[receiver].node.peers_address, wants_news=True
        )
    assert view_of(machines["finder"], gone).suspected
    gone.backend.close()


async def test_reports_are_applied_before_the_request_is_held(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reports carry their age at the time of the request; after a hold, old ones would look new."""
    monkeypatch.setattr(peer_sync, "MAX_HOLD_SECONDS", 60.0)
    names = ("finder", "other", "reader", "gone")
    machines = {name: await system.add("shop", data_centre=name) for name in names}
    system.introduce_all()
    gone = machines["gone"]
    gone.crash()
    system.machines.remove(gone)
    polls = []
    for sender in ("finder", "other"):
        now = asyncio.get_running_loop().time()
        sync = machines[sender].node.sync
        machines[sender].node.directory.reachability_reports.note(
            gone.node.directory.me.node, now, reached=False
        )
        address = machines["reader"].node.peers_address
        polls.append(asyncio.create_task(sync.poll(address, wants_news=True, hold=60.0)))
    await until(lambda: view_of(machines["reader"], gone).suspected)
    assert not any(task.done() for task in polls)
    for task in polls:
        task.cancel()
    gone.backend.close()
