"""With a limit on the revocation of keys, a node without a confirmed configuration refuses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hoisthook.settings.mesh_settings import MeshKeySettings
from standin.mesh_store import Outage
from standin.published_configuration import RouteOptions
from standin.published_configuration import TeamOptions
from tests.waiting import until

if TYPE_CHECKING:
    from standin.mesh_system import MeshSystem

REVOCATION_SECONDS = 3.0
PORT = TeamOptions("port", ("key",))
ROUTES = (RouteOptions("shop"), RouteOptions("shop", prefix="/open/", public=True))


async def start_system(system: MeshSystem) -> None:
    system.keys = MeshKeySettings(REVOCATION_SECONDS)
    system.readers_per_data_centre = 1
    for _ in range(4):
        await system.add("shop")
    system.introduce_all()
    system.publish(1, *ROUTES, teams=[PORT])
    await system.until_configured(1)


async def test_keys_are_refused_after_the_lease_lapses_and_accepted_after_recovery(
    system: MeshSystem,
) -> None:
    await start_system(system)
    for machine in system.machines:
        assert (await system.call(machine, key="key"))[0] == 200
    now = system.machines[0].node._clock.now
    system.store.outage = Outage.BUSY
    cut_at = now()
    await until(lambda: not any(m.node.key_lease.holds(now()) for m in system.machines))
    assert now() - cut_at <= REVOCATION_SECONDS
    for machine in system.machines:
        status, _, body = await system.call(machine, key="key")
        assert (status, body.split()[0]) == (503, b"2027")
        # Requests that need no key are still served.
        assert (await system.call(machine, "/open/x"))[0] == 200
    system.store.outage = Outage.NONE
    await until(lambda: all(m.node.key_lease.holds(now()) for m in system.machines))
    assert (await system.call(system.machines[0], key="key"))[0] == 200


async def test_polling_nodes_renew_their_leases_through_the_reader(
    system: MeshSystem,
) -> None:
    await start_system(system)
    now = system.machines[0].node._clock.now
    ends_at = now() + 2 * REVOCATION_SECONDS
    while now() < ends_at:
        for machine in system.machines:
            assert (await system.call(machine, key="key"))[0] == 200


@pytest.mark.parametrize("seconds", [0.0])
async def test_node_without_a_revocation_limit_continues_to_serve(
    system: MeshSystem, seconds: float
) -> None:
    await start_system(system)
    system.store.outage = Outage.BUSY
    machine = system.machines[0]
    machine.node._ingress._lease._seconds = seconds
    assert (await system.call(machine, key="key"))[0] == 200
