"""Work that crashes backend servers is refused after a few crashes, also without a platform.

The failure: crashes were not remembered after the answer, so every repeat of the same work was
sent to a backend server again, and at times to the other one as well. Sixteen calls through two
ingress nodes caused eighteen crashes:

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
    from tests.node.harness import CallerResult

CRASHING = "crashing"
CALLS = 16
# Three crashes are the evidence; each of the two nodes may have begun two more executions
# before it has received that evidence.
MAX_CRASHES = 7
UPTIME_MS = 60_000


@pytest_asyncio.fixture
async def system() -> AsyncIterator[System]:
    spec = ServiceSpec(SERVICE, timeout_ms=20_000, retry_percent=5.0, measure_per_second=0.0)
    running = System(timeout_ms=20_000, spec=spec)
    await running.start()
    yield running
    await running.close()


async def send_and_restart(system: System, number: int) -> CallerResult:
    """Send the work; restart each crashed backend server as a new incarnation of the same id."""
    before = {name: backend.runs.count(CRASHING) for name, backend in backends(system)}
    for name, backend in backends(system):
        backend.crashes_on = CRASHING
        system.uptime_ms_by_name[name] = UPTIME_MS
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
    got = [await send_and_restart(system, number) for number in range(CALLS)]
    assert system.runs(CRASHING) <= MAX_CRASHES
    assert got[-1].code == ResultCode.WORK_ENDS_SERVERS.number
    other = await system.call(system.node_by_name["c"].callers_address, "other", target=b"/other")
    assert other.code == ResultCode.OK.number
