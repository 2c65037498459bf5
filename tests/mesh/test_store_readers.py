from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.mesh import configuration_watch
from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

NODES = 7
LONG_SECONDS = 60.0
READERS = 2


@pytest.fixture(autouse=True)
def long_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent waits for changes from timing out, so that calls can be counted."""
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", LONG_SECONDS)


async def one_data_centre(system: MeshSystem) -> tuple[list[Machine], list[Machine]]:
    """Return the readers and the other machines, all with the first configuration."""
    system.readers_per_data_centre = READERS
    for _ in range(NODES):
        await system.add("shop")
    system.introduce_all()
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
    system.introduce_all()
    assert far.node._watch._readers.poll_targets() == []
