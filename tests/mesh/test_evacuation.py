"""A data centre that operators have evacuated receives no requests until it is restored."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.identity import DataCentre
from hoisthook.mesh import configuration_watch
from hoisthook.traffic.configuration_holder import ConfigurationSource
from hoisthook.traffic.evacuations import Evacuations
from standin.mesh_store import Outage
from standin.mesh_system import ListLog
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:

    import pytest

    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

ONE = DataCentre("one")
TWO = DataCentre("two")


async def ingress_and_two_servers(system: MeshSystem) -> tuple[Machine, Machine, Machine]:
    """Return an ingress node, a machine of the service near it and one far away."""
    ingress = await system.add("front")
    near = await system.add("shop")
    far = await system.add("shop", data_centre="two")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    return ingress, near, far


async def until_known(system: MeshSystem, *data_centres: DataCentre) -> None:
    wanted = frozenset(data_centres)
    await until(lambda: all(m.node.evacuations.data_centres == wanted for m in system.machines))


async def test_evacuated_data_centre_receives_nothing_until_restored(system: MeshSystem) -> None:
    ingress, near, far = await ingress_and_two_servers(system)
    system.evacuate("one")
    await until_known(system, ONE)
    for _ in range(5):
        status, _, _ = await system.call(ingress)
        assert status == 200
    assert (len(near.backend.arrivals), len(far.backend.arrivals)) == (0, 5)
    # A node that knows of the evacuation sends no requests there in vain.
    assert not system.log.named("not_admitted")
    system.restore("one")
    await until_known(system)
    await until(lambda: near.node.link.evacuated is False)
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert len(near.backend.arrivals) == 1


async def test_calls_from_the_evacuated_data_centre_still_leave_it(system: MeshSystem) -> None:
    ingress, _, far = await ingress_and_two_servers(system)
    system.evacuate("one")
    await until_known(system, ONE)
    assert ingress.node.ready
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert far.backend.arrivals[-1].headers[b"x-caller-service"] == b"front"


async def test_request_is_refused_at_once_when_all_data_centres_are_evacuated(
    system: MeshSystem,
) -> None:
    ingress, near, far = await ingress_and_two_servers(system)
    system.evacuate("one")
    system.evacuate("two")
    await until_known(system, ONE, TWO)
    started_at = asyncio.get_running_loop().time()
    status, headers, _ = await system.call(ingress)
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    # Far below the target latency of one second.
    assert asyncio.get_running_loop().time() - started_at < 0.5
    assert not near.backend.arrivals
    assert not far.backend.arrivals


async def test_sender_unaware_of_the_evacuation_is_rejected_by_the_target_node(
    system: MeshSystem,
) -> None:
    ingress, near, far = await ingress_and_two_servers(system)
    near.node.evacuations.offer(1000, [ONE], ConfigurationSource.PEER)
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert (len(near.backend.arrivals), len(far.backend.arrivals)) == (0, 1)


async def test_running_request_finishes_after_an_evacuation(system: MeshSystem) -> None:
    ingress, near, _ = await ingress_and_two_servers(system)
    near.backend.work_seconds = 0.3
    running = asyncio.create_task(system.call(ingress, request_id="running"))
    await until(lambda: near.backend.running == 1)
    system.evacuate("one")
    await until_known(system, ONE)
    status, _, body = await running
    assert (status, body) == (200, b"body of running")
    assert [run.request_id for run in near.backend.arrivals] == ["running"]


async def test_request_with_a_body_arriving_after_the_evacuation_is_not_forwarded(
    system: MeshSystem,
) -> None:
    """Guards against forwarding after a slow body: admission comes before the evacuation."""
    ingress, near, _ = await ingress_and_two_servers(system)
    link = near.node.link
    connect = link._exchanges.connect

    async def evacuated_meanwhile() -> object:
        connection = await connect()
        near.node.evacuations.offer(1000, [ONE], ConfigurationSource.PEER)
        return connection

    link._exchanges.connect = evacuated_meanwhile  # type: ignore[assignment, method-assign]
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert not near.backend.arrivals


async def test_evacuation_is_known_to_nodes_started_later_and_after_a_full_restart(
    system: MeshSystem,
) -> None:
    await ingress_and_two_servers(system)
    system.evacuate("two")
    await until_known(system, TWO)
    for machine in system.machines:
        machine.crash()
        machine.backend.close()
    system.machines.clear()
    # Only the newest record of each key is still retained, that of the operators among them.
    system.store.forget("keyed.op")
    later = await system.add("front")
    await until(lambda: later.node.evacuations.data_centres == {TWO})


async def test_node_rejected_by_the_store_gets_evacuations_from_peers(system: MeshSystem) -> None:
    _, near, _ = await ingress_and_two_servers(system)
    system.store.outage = Outage.BUSY
    later = await system.add("front", data_centre="three")
    system.merge_all_peers()
    near.node.evacuations.offer(1000, [TWO], ConfigurationSource.STORE)
    await until(lambda: later.node.evacuations.data_centres == {TWO})


async def test_restoration_missed_with_deleted_history_is_noticed(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", 1.0)
    ingress, _, _ = await ingress_and_two_servers(system)
    system.evacuate("two")
    await until_known(system, TWO)
    for machine in system.machines:
        machine.node._watch._offset = 0
    system.restore("two")
    system.store.forget("keyed.op")
    await until_known(system)
    assert not ingress.node.evacuations.data_centres


async def test_evacuation_costs_no_additional_store_reads(system: MeshSystem) -> None:
    machines = await ingress_and_two_servers(system)
    # Each reads the list of nodes and the configuration once; a peer may tell of the latter first.
    reads = 2 * len(machines)
    await until(lambda: system.store.calls.count("log-newest") == reads)
    system.evacuate("one")
    await until_known(system, ONE)
    assert system.store.calls.count("log-newest") == reads


def test_older_evacuation_revision_changes_nothing_from_either_source() -> None:
    evacuations = Evacuations(ListLog())
    assert evacuations.offer(10, [ONE], ConfigurationSource.STORE)
    assert not evacuations.offer(9, [], ConfigurationSource.PEER)
    assert evacuations.data_centres == {ONE}
    assert evacuations.offer(11, [], ConfigurationSource.PEER)
    assert not evacuations.offer(10, [ONE], ConfigurationSource.STORE)
    assert not evacuations.data_centres
