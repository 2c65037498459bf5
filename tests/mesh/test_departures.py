"""What a node has acknowledged to a backend server holds after the node's process has ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from hoisthook.mesh import announcement_claim
from hoisthook.mesh import withdrawal_records
from hoisthook.mesh.incarnation_records import BackendState
from standin.mesh_store import Outage
from standin.mesh_system import NODES_TOPIC
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem


class Departure:
    """A service of one backend server that leaves, and an ingress node."""

    def __init__(self, system: MeshSystem, ingress: Machine, machine: Machine) -> None:
        self.system = system
        self.ingress = ingress
        self.machine = machine
        self.backend = machine.backend

    async def heartbeat(self, state: str = "ready", sequence: int | None = None) -> int:
        address = self.machine.endpoints.announcements_address
        return await self.backend.send_heartbeat(address, state=state, sequence=sequence)

    async def deregister(self) -> int:
        self.backend.healthy = False
        return await self.backend.deregister(self.machine.endpoints.announcements_address)

    async def restart(self) -> None:
        """Kill the node of the backend server and start it again, without waiting for the store."""
        self.machine.crash()
        self.machine = await self.system.restart(self.machine)
        self.system.merge_all_peers()

    async def until_history_is_known(self) -> None:
        await until(lambda: self.machine.node.withdrawals.is_read)
        await self.system.until_configured(1)

    async def status(self) -> int:
        """Return the status of a request of a caller."""
        return (await self.system.call(self.ingress, deadline_ms=400))[0]

    async def gets_nothing(self) -> bool:
        before = len(self.backend.runs)
        statuses = {await self.status() for _ in range(3)}
        return statuses == {503} and len(self.backend.runs) == before


@pytest_asyncio.fixture
async def departure(system: MeshSystem) -> Departure:
    ingress = await system.add("front")
    machine = await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    leaving = Departure(system, ingress, machine)
    for _ in range(4):
        await leaving.heartbeat()
    assert await leaving.status() == 200
    return leaving


def records_in_store(system: MeshSystem) -> list[str]:
    newest = system.store.topic(NODES_TOPIC).newest()
    return [key for key in newest if key.startswith(withdrawal_records.KEY_PREFIX)]


@pytest.mark.parametrize("is_killed_twice", [False, True])
@pytest.mark.parametrize("late", [[5], [5, 6], [6, 5]])
async def test_late_announcement_does_not_revive_a_deregistered_server(
    departure: Departure, late: list[int], *, is_killed_twice: bool
) -> None:
    """Guards against a process that takes a late announcement for the first of a new server."""
    assert await departure.deregister() == 200
    await departure.restart()
    await departure.until_history_is_known()
    for sequence in late:
        assert await departure.heartbeat(sequence=sequence) == 200
        if is_killed_twice:
            await departure.restart()
            await departure.until_history_is_known()
    assert await departure.gets_nothing()


async def test_false_health_does_not_revive_a_deregistered_server(departure: Departure) -> None:
    """Guards against a new process that believes a health check more than the deregistration."""
    assert await departure.deregister() == 200
    departure.backend.healthy = True
    await departure.restart()
    await departure.until_history_is_known()
    assert await departure.gets_nothing()
    await departure.heartbeat(sequence=5)
    assert await departure.gets_nothing()


async def test_kill_of_all_nodes_keeps_the_deregistration(departure: Departure) -> None:
    """Guards against a promise that is kept only as long as some node remembers it."""
    assert await departure.deregister() == 200
    departure.ingress.crash()
    await departure.restart()
    departure.ingress = await departure.system.restart(departure.ingress)
    departure.system.merge_all_peers()
    await departure.until_history_is_known()
    await departure.heartbeat(sequence=5)
    assert await departure.gets_nothing()


async def test_late_announcement_does_not_revoke_a_drain(departure: Departure) -> None:
    """Guards against a process that does not know up to which announcement its server drains."""
    assert await departure.heartbeat("draining", sequence=6) == 200
    await departure.restart()
    await departure.until_history_is_known()
    await departure.heartbeat(sequence=5)
    assert await departure.gets_nothing()
    await departure.heartbeat(sequence=7)
    assert await departure.status() == 200


async def test_drained_server_that_deregisters_stays_gone(departure: Departure) -> None:
    """Guards against a late announcement that revokes the drain, but not the deregistration."""
    assert await departure.heartbeat("draining", sequence=6) == 200
    assert await departure.deregister() == 200
    assert len(records_in_store(departure.system)) == 1
    await departure.restart()
    await departure.until_history_is_known()
    for sequence in (5, 7):
        await departure.heartbeat(sequence=sequence)
        assert await departure.gets_nothing()


async def test_server_that_left_by_its_answers_stays_out(departure: Departure) -> None:
    """Guards against a new process that takes a false health check for the end of the leaving."""
    departure.backend.leaving = True
    await departure.status()
    await until(lambda: len(records_in_store(departure.system)) == 1)
    departure.backend.leaving = False
    await departure.restart()
    await departure.until_history_is_known()
    await departure.heartbeat()
    assert await departure.gets_nothing()


async def test_next_incarnation_takes_work(departure: Departure) -> None:
    assert await departure.deregister() == 200
    await departure.restart()
    await departure.until_history_is_known()
    departure.backend.healthy = True
    departure.backend.instance = "next"
    await departure.heartbeat(sequence=1)
    assert await departure.status() == 200
    await departure.restart()
    await departure.until_history_is_known()
    await departure.heartbeat(sequence=2)
    assert await departure.status() == 200


@pytest.mark.parametrize("outage", [Outage.BUSY, Outage.RESET, Outage.SILENT])
async def test_deregistration_is_acknowledged_once_it_is_stored(
    departure: Departure, monkeypatch: pytest.MonkeyPatch, outage: Outage
) -> None:
    """Guards against an acknowledgement of what the next process cannot know."""
    monkeypatch.setattr(withdrawal_records, "ACKNOWLEDGE_SECONDS", 0.1)
    departure.system.store.outage = outage
    assert await departure.deregister() == 503
    assert await departure.gets_nothing()
    assert departure.system.log.named("withdrawal_unacknowledged")
    departure.system.store.outage = Outage.NONE
    await until(lambda: len(records_in_store(departure.system)) == 1)
    assert await departure.deregister() == 200
    assert len(records_in_store(departure.system)) == 1


async def test_dead_connection_to_the_store_does_not_delay_the_acknowledgement(
    departure: Departure,
) -> None:
    """Guards against a write on an idle connection that has gone silent."""
    departure.system.store.silent_peers = set(departure.system.store.peers)
    assert await departure.deregister() == 200


async def test_late_announcement_is_not_believed_while_the_store_is_away(
    departure: Departure,
) -> None:
    """Guards against a process that cannot know yet and takes any announcement for news."""
    assert await departure.deregister() == 200
    departure.system.store.outage = Outage.BUSY
    await departure.restart()
    await departure.system.until_configured(1)
    await departure.heartbeat(sequence=5)
    assert await departure.gets_nothing()
    departure.system.store.outage = Outage.NONE
    await departure.until_history_is_known()
    assert departure.machine.node.link.observed_backend.state is BackendState.GONE


async def test_healthy_server_serves_while_the_store_is_away(departure: Departure) -> None:
    departure.system.store.outage = Outage.BUSY
    await departure.restart()
    await departure.system.until_configured(1)
    await departure.heartbeat()
    assert await departure.status() == 200
    assert not departure.machine.node.withdrawals.is_read


async def test_falsely_unhealthy_server_serves_beside_a_restarted_node(
    departure: Departure,
) -> None:
    """Guards against a server that announces itself and is kept out by a false health check."""
    departure.backend.healthy = False
    await departure.restart()
    await departure.until_history_is_known()
    await departure.heartbeat()
    assert await departure.status() == 200


async def test_falsely_unhealthy_server_serves_without_the_store_after_the_longest_delay(
    departure: Departure, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(announcement_claim, "MAX_ANNOUNCEMENT_DELAY_SECONDS", 0.0)
    departure.backend.healthy = False
    departure.system.store.outage = Outage.BUSY
    await departure.restart()
    await departure.system.until_configured(1)
    await departure.heartbeat()
    assert await departure.status() == 200


async def test_record_is_removed_after_its_retention(
    departure: Departure, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(withdrawal_records, "RETENTION_SECONDS", 0.05)
    assert await departure.deregister() == 200
    await asyncio.sleep(0.2)
    assert len(records_in_store(departure.system)) == 1
    departure.backend.healthy = True
    departure.backend.instance = "next"
    await departure.heartbeat(sequence=1)
    await until(lambda: not records_in_store(departure.system))


async def test_unreadable_record_is_passed_over(departure: Departure) -> None:
    node = departure.machine.node.directory.me.node
    key = f"{withdrawal_records.KEY_PREFIX}{node}/i-9"
    departure.system.store.put(NODES_TOPIC, key, b"\x00")
    await departure.restart()
    await departure.until_history_is_known()
    await departure.heartbeat()
    assert await departure.status() == 200
    (line,) = departure.system.log.named("withdrawal_unreadable")
    assert line["key"] == key


@pytest.mark.parametrize("name", ["", "x" * 101, "%E9\xe9"])
async def test_announcement_without_a_usable_id_is_rejected(
    departure: Departure, name: str
) -> None:
    departure.backend.instance = name
    assert await departure.deregister() == 400
    departure.backend.instance = "i-2"
    departure.backend.healthy = True
    assert await departure.status() == 200
