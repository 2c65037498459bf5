"""A cold backend server is sent no more requests than its limit, from all nodes together."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from typing import TYPE_CHECKING

from hoisthook.settings.mesh_settings import MeshColdSettings
from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

PER_SECOND = 4.0
COLD = MeshColdSettings(1.5, 2.0)
LIMIT = int(PER_SECOND * COLD.rate_factor + COLD.extra)
REQUESTS = 60


def most_in_a_second(times: list[float]) -> int:
    return max((bisect_right(times, at + 1.0) - n for n, at in enumerate(times)), default=0)


async def ingresses_and_server(system: MeshSystem) -> tuple[list[Machine], Machine]:
    system.cold = COLD
    ingresses = [await system.add("front") for _ in range(3)]
    server = await system.add("shop", slots=100)
    system.introduce_all()
    system.publish(1, RouteOptions("shop", cold_per_second=PER_SECOND))
    await system.until_configured(1)
    # A node counts its first second as if the limit had been used up in it.
    await asyncio.sleep(1.2)
    return ingresses, server


async def send_load(system: MeshSystem, ingresses: list[Machine]) -> list[int]:
    """Send many requests over two seconds; return their statuses."""
    calls = []
    for number in range(REQUESTS):
        calls.append(asyncio.create_task(system.call(ingresses[number % len(ingresses)])))
        await asyncio.sleep(2.0 / REQUESTS)
    return [status for status, _, _ in await asyncio.gather(*calls)]


async def test_server_announced_as_cold_is_rate_limited(system: MeshSystem) -> None:
    ingresses, server = await ingresses_and_server(system)
    server.backend.cold_seconds = 30.0
    await server.beat()
    statuses = await send_load(system, ingresses)
    times = server.backend.arrival_times
    assert most_in_a_second(times) <= LIMIT
    # The limit is nearly used up as well.
    assert len(times) >= 2 * LIMIT - 2
    assert set(statuses) == {200, 503}


async def test_server_that_turns_cold_unannounced_is_rate_limited(system: MeshSystem) -> None:
    ingresses, server = await ingresses_and_server(system)
    await send_load(system, ingresses)
    server.backend.arrival_times.clear()
    server.backend.cold_seconds = 30.0
    await send_load(system, ingresses)
    assert most_in_a_second(server.backend.arrival_times) <= LIMIT


async def test_refused_health_check_does_not_mark_the_server_as_warm(system: MeshSystem) -> None:
    ingresses, server = await ingresses_and_server(system)
    server.backend.cold_seconds = 30.0
    await server.beat()
    server.backend.healthy = False
    await send_load(system, ingresses)
    assert server.backend.health_reads
    assert most_in_a_second(server.backend.arrival_times) <= LIMIT


async def test_warm_server_serves_all(system: MeshSystem) -> None:
    ingresses, server = await ingresses_and_server(system)
    assert set(await send_load(system, ingresses)) == {200}
    assert most_in_a_second(server.backend.arrival_times) > LIMIT
    # Its health is read once for as many requests as the limit of a cold server.
    assert server.backend.health_reads <= 3 * REQUESTS / LIMIT


async def test_restarted_node_does_not_renew_the_allowance_of_a_cold_server(
    system: MeshSystem,
) -> None:
    ingresses, server = await ingresses_and_server(system)
    server.backend.cold_seconds = 30.0
    await server.beat()
    await send_load(system, ingresses)
    sent = len(server.backend.arrivals)
    server.crash()
    system.machines.remove(server)
    restarted = await system.add("shop", backend=server.backend)
    system.introduce_all()
    await send_load(system, ingresses)
    assert restarted.backend.arrivals[sent:]
    assert most_in_a_second(server.backend.arrival_times) <= LIMIT
