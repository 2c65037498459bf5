"""Work that ends backend servers, sent by callers with no platform.

Whatever a request did was forgotten with its answer here too: each time that the same work came
again it was sent to a backend server, and at times once more to the other one. Sixteen sends
through two entries ended backend servers eighteen times:

    assert 18 <= 7 where 18 = runs('crashing')
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest_asyncio

from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.result_code import ResultCode
from tests.node.harness import SERVICE
from tests.node.harness import System

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.node.backend import Backend
    from tests.node.harness import Got

CRASHING = "crashing"
SENDS = 16
# Three prove it; each of the two nodes may have begun it twice before it has heard of them.
MOST_ENDED = 7
RUNNING_MS = 60_000


@pytest_asyncio.fixture
async def system() -> AsyncIterator[System]:
    spec = ServiceSpec(SERVICE, timeout_ms=20_000, retry_percent=5.0, measure_per_second=0.0)
    running = System(timeout_ms=20_000, spec=spec)
    await running.start()
    yield running
    await running.close()


async def send_and_restart(system: System, number: int) -> Got:
    """Send the work; start again what it has ended, as another life under the same id."""
    before = {name: backend.runs.count(CRASHING) for name, backend in backends(system)}
    for name, backend in backends(system):
        backend.ends_under = CRASHING
        system.uptime_ms_by_name[name] = RUNNING_MS
        system.announce(name)
    ingress = system.node_by_name["ac"[number % 2]]
    got = await system.call(ingress.callers_address, CRASHING, target=b"/crashing")
    for name, backend in backends(system):
        if backend.runs.count(CRASHING) > before[name]:
            system.uptime_ms_by_name[name] = 0
            system.announce(name)
    return got


def backends(system: System) -> list[tuple[str, Backend]]:
    return sorted(system.backend_by_name.items())


async def test_work_that_crashes_backend_servers_is_not_forwarded_indefinitely(
    system: System,
) -> None:
    got = [await send_and_restart(system, number) for number in range(SENDS)]
    assert system.runs(CRASHING) <= MOST_ENDED
    assert got[-1].code == ResultCode.WORK_ENDS_SERVERS.number
    other = await system.call(system.node_by_name["c"].callers_address, "other", target=b"/other")
    assert other.code == ResultCode.OK.number
