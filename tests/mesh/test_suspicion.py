"""Nodes that are gone are found out by few and known to all of a data centre."""

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
    """Return five entries, a backend server's node that stays and one that is gone."""
    system.readers_per_data_centre = 2
    ingresses = [await system.add("front") for _ in range(5)]
    staying = await system.add("shop")
    leaving = await system.add("shop", data_centre=data_centre)
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    leaving.crash()
    system.machines.remove(leaving)
    return ingresses, staying, leaving


async def test_what_two_nodes_found_out_the_others_need_not(system: MeshSystem) -> None:
    ingresses, staying, leaving = await ingresses_and_two_servers(system)
    for ingress in ingresses[:2]:
        # Only the node that is gone is left to be asked.
        view_of(ingress, staying).close_until(asyncio.get_running_loop().time() + 0.2)
        await system.call(ingress)
    await until(lambda: all(view_of(e, leaving).suspected for e in ingresses))
    found = system.log.named("peer_unreachable")
    assert len([line for line in found if line["peer"] == "node-7"]) <= 3
    leaving.backend.close()


async def test_one_that_reaches_it_again_clears_it_for_all(system: MeshSystem) -> None:
    ingresses, _, leaving = await ingresses_and_two_servers(system)
    for ingress in ingresses:
        found = ingress.node.directory.findings
        now = asyncio.get_running_loop().time()
        found.note(leaving.node.directory.me.node, now, reached=False)
    await until(lambda: all(view_of(e, leaving).suspected for e in ingresses))
    await system.restart(leaving)
    ingresses[0].node._hop.probe(view_of(ingresses[0], leaving))
    await until(lambda: not any(view_of(e, leaving).suspected for e in ingresses))
    assert view_of(ingresses[1], leaving).closed_until <= asyncio.get_running_loop().time()


async def test_node_that_was_just_heard_from_is_not_suspected_on_hearsay(
    system: MeshSystem,
) -> None:
    ingresses, staying, _ = await ingresses_and_two_servers(system)
    status, _, _ = await system.call(ingresses[0])
    assert status == 200
    name = staying.node.directory.me.node
    ingresses[0].node.directory.others_suspect([name], asyncio.get_running_loop().time())
    assert not view_of(ingresses[0], staying).suspected


async def test_start_of_its_own_clears_it_without_a_probe(system: MeshSystem) -> None:
    ingresses, _, leaving = await ingresses_and_two_servers(system, "one")
    for ingress in ingresses:
        found = ingress.node.directory.findings
        now = asyncio.get_running_loop().time()
        found.note(leaving.node.directory.me.node, now, reached=False)
    await until(lambda: all(view_of(e, leaving).suspected for e in ingresses))
    await system.restart(leaving)
    await until(lambda: not any(view_of(e, leaving).suspected for e in ingresses))


async def test_findings_of_nodes_that_ask_different_ones_add_up(system: MeshSystem) -> None:
    """As in a large data centre, where few nodes ask a reader themselves."""
    # Each alone in its data centre, so that nobody asks but as told here.
    names = ("finder", "other", "first", "second", "reader", "gone")
    machines = {name: await system.add("shop", data_centre=name) for name in names}
    system.merge_all_peers()
    gone = machines.pop("gone")
    gone.crash()
    system.machines.remove(gone)
    now = asyncio.get_running_loop().time()
    for asker, asked in (("finder", "first"), ("other", "second")):
        findings = machines[asker].node.directory.findings
        findings.note(gone.node.directory.me.node, now, reached=False)
        await machines[asker].node.sync.ask(machines[asked].node.peers_address, wants_news=True)
    assert not view_of(machines["reader"], gone).suspected
    for middle in ("first", "second"):
        reader = machines["reader"].node.peers_address
        await machines[middle].node.sync.ask(reader, wants_news=True)
    assert view_of(machines["reader"], gone).suspected
    # And back: who asks in the middle is told what the reader has concluded.
    for asker, asked in (("first", "reader"), ("finder", "first")):
        await machines[asker].node.sync.ask(machines[asked].node.peers_address, wants_news=True)
    assert view_of(machines["finder"], gone).suspected
    gone.backend.close()


async def test_findings_are_taken_in_before_the_question_is_held(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their age is that at the moment of the question; a hold would make old ones new."""
    monkeypatch.setattr(peer_sync, "MAX_HOLD_SECONDS", 60.0)
    names = ("finder", "other", "reader", "gone")
    machines = {name: await system.add("shop", data_centre=name) for name in names}
    system.merge_all_peers()
    gone = machines["gone"]
    gone.crash()
    system.machines.remove(gone)
    asking = []
    for asker in ("finder", "other"):
        now = asyncio.get_running_loop().time()
        sync = machines[asker].node.sync
        machines[asker].node.directory.findings.note(
            gone.node.directory.me.node, now, reached=False
        )
        address = machines["reader"].node.peers_address
        asking.append(asyncio.create_task(sync.ask(address, wants_news=True, hold=60.0)))
    await until(lambda: view_of(machines["reader"], gone).suspected)
    assert not any(task.done() for task in asking)
    for task in asking:
        task.cancel()
    gone.backend.close()
