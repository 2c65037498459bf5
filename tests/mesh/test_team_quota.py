"""A team gets its quota from all nodes together, over sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.settings.mesh_settings import MeshTeamSettings
from standin.mesh_backend import Fault
from standin.published_configuration import RouteOptions
from standin.published_configuration import TeamOptions

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

TEAMS = MeshTeamSettings(quota_window_seconds=5.0, quota_over_share=0.1, quota_extra=10.0)
PORT = TeamOptions("port", ("key",), per_second=10.0, burst=10.0)
# Accrues so slowly that what was used up is missed.
SLOW = TeamOptions("port", ("key",), per_second=0.1, burst=8.0)
OTHER = TeamOptions("other", ("other-key",))
BOUND = (10.0 * 5.0 + 10.0) * 1.1 + 10.0


async def ingresses_and_server(
    system: MeshSystem, port: TeamOptions
) -> tuple[list[Machine], Machine]:
    system.teams = TEAMS
    ingresses = [await system.add("front") for _ in range(3)]
    server = await system.add("shop", slots=100)
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"), teams=[port, OTHER])
    await system.until_configured(1)
    # Nodes that have just started do not know what was given out before.
    await asyncio.sleep(1.5)
    return ingresses, server


async def press(system: MeshSystem, ingresses: list[Machine], count: int) -> list[int]:
    calls = [system.call(ingresses[n % len(ingresses)], key="key") for n in range(count)]
    return [status for status, _, _ in await asyncio.gather(*calls)]


async def test_all_entries_together_admit_a_quota(system: MeshSystem) -> None:
    ingresses, server = await ingresses_and_server(system, PORT)
    begun = asyncio.get_running_loop().time()
    statuses: list[int] = []
    for _ in range(5):
        statuses += await press(system, ingresses, 30)
        await asyncio.sleep(0.2)
    seconds = asyncio.get_running_loop().time() - begun
    assert set(statuses) == {200, 429}
    assert len(server.backend.runs) == statuses.count(200)
    assert statuses.count(200) <= BOUND
    assert statuses.count(200) >= 10.0 * seconds - 10.0


async def test_who_is_over_its_quota_is_told_when_to_come_back_and_others_are_served(
    system: MeshSystem,
) -> None:
    ingresses, server = await ingresses_and_server(system, PORT)
    while (answer := await system.call(ingresses[0], key="key"))[0] == 200:
        pass
    status, headers, body = answer
    assert status == 429
    assert body.startswith(b"2025 TEAM_OVER_QUOTA")
    assert 0 < float(headers[b"retry-after"]) <= 2.0
    tries = len(server.backend.arrivals)
    assert (await system.call(ingresses[0], key="other-key"))[0] == 200
    assert len(server.backend.arrivals) == tries + 1


async def test_request_that_no_backend_server_took_leaves_its_token(system: MeshSystem) -> None:
    ingresses, server = await ingresses_and_server(system, SLOW)
    # Until so many are saved up.
    await asyncio.sleep(6.0)
    server.backend.fault = Fault.SHED
    for _ in range(20):
        assert await press(system, ingresses[:1], 1) == [503]
    server.backend.fault = Fault.NONE
    await asyncio.sleep(0.1)
    assert await press(system, ingresses[:1], 6) == [200] * 6


async def test_a_quota_goes_on_where_the_node_that_gives_it_out_has_gone(
    system: MeshSystem,
) -> None:
    ingresses, _ = await ingresses_and_server(system, PORT)
    system.machines[1].crash()
    left = [ingresses[0], ingresses[2]]
    served = 0
    for _ in range(10):
        served += (await press(system, left, 2)).count(200)
        await asyncio.sleep(0.2)
    assert served >= 8
