"""A backend server that names a limit, or says that it leaves, in its answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.admission import rate_limit
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from standin.mesh_backend import MeshBackendStandin
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

LIMIT = 5
# Of the platform: the limit times this, plus the extra requests, may arrive in the window.
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def allowed(per_second: float) -> float:
    """Return how many requests may arrive in any window of the platform's rule."""
    return ALLOWED_FACTOR * per_second * WINDOW_SECONDS + ALLOWED_EXTRA


def most_arrivals(backend: MeshBackendStandin) -> int:
    """Return the arrivals in the fullest window."""
    times = backend.arrival_times
    counts = (sum(1 for at in times if start <= at < start + WINDOW_SECONDS) for start in times)
    return max(counts, default=0)


@pytest.fixture
def no_predecessor(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the first window of a node count as if no process had run before it."""
    monkeypatch.setattr(rate_limit, "RESTART_SECONDS", 60.0)


async def limited_system(system: MeshSystem, limit: bytes | None, ingresses: int = 3) -> Machine:
    """Start ingress nodes and a server; return its machine once its node knows of a limit."""
    for _ in range(ingresses):
        await system.add("front")
    machine = await system.add("shop", slots=20)
    machine.backend.rate_limit = limit
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    await system.call(system.machines[0])
    return machine


async def send_all(system: MeshSystem, count: int, deadline_ms: int = 400) -> list[int]:
    """Send requests at once through all nodes in turn; return the statuses of the answers."""
    answers = await asyncio.gather(
        *(
            system.call(system.machines[number % len(system.machines)], deadline_ms=deadline_ms)
            for number in range(count)
        )
    )
    return [status for status, _, _ in answers]


@pytest.mark.usefixtures("no_predecessor")
async def test_limit_holds_over_all_ingress_nodes(system: MeshSystem) -> None:
    machine = await limited_system(system, b"5")
    statuses = await send_all(system, 60)
    assert len(machine.backend.arrivals) <= LIMIT
    assert set(statuses) == {200, 503}
    (line,) = system.log.named("backend_limited")
    assert (line["per_second"], line["source"]) == (5.0, "health")


@pytest.mark.usefixtures("no_predecessor")
async def test_refusal_names_the_time_at_which_the_limit_admits_again(system: MeshSystem) -> None:
    await limited_system(system, b"5")
    answers = await asyncio.gather(
        *(system.call(system.machines[0], deadline_ms=300) for _ in range(20))
    )
    waits = [float(headers[b"retry-after"]) for status, headers, _ in answers if status == 503]
    assert len(waits) >= 20 - LIMIT
    assert all(0 < wait <= 1.0 for wait in waits[:5])


@pytest.mark.usefixtures("no_predecessor")
async def test_server_without_a_limit_takes_what_another_cannot(system: MeshSystem) -> None:
    limited = await limited_system(system, b"3")
    await system.add("shop", slots=20)
    system.merge_all_peers()
    await system.until_configured(1)
    statuses = await send_all(system, 40, deadline_ms=2000)
    assert set(statuses) == {200}
    assert len(limited.backend.arrivals) <= allowed(3)


async def test_limit_holds_while_the_node_is_restarted_again_and_again(
    system: MeshSystem,
) -> None:
    """Guards against a node that admits requests before it knows what answers have named."""
    machine = await limited_system(system, b"5")
    for _ in range(4):
        await send_all(system, 20)
        machine.crash()
        machine = await system.restart(machine)
        system.merge_all_peers()
        await system.until_configured(1)
    await send_all(system, 20)
    assert most_arrivals(machine.backend) <= allowed(LIMIT)


@pytest.mark.usefixtures("no_predecessor")
async def test_limit_ends_when_answers_no_longer_name_it(system: MeshSystem) -> None:
    machine = await limited_system(system, b"2")
    machine.backend.rate_limit = None
    await asyncio.sleep(rate_limit.MAX_WINDOW_SECONDS)
    await system.call(system.machines[0])
    statuses = await send_all(system, 20, deadline_ms=2000)
    assert set(statuses) == {200}
    assert [line["per_second"] for line in system.log.named("backend_limited")] == [2.0, None]


@pytest.mark.usefixtures("no_predecessor")
async def test_another_limit_replaces_the_first(system: MeshSystem) -> None:
    machine = await limited_system(system, b"2")
    machine.backend.rate_limit = b"30"
    await system.call(system.machines[0])
    statuses = await send_all(system, 25, deadline_ms=2000)
    assert statuses.count(200) >= 20
    assert len(machine.backend.arrivals) <= 31


@pytest.mark.usefixtures("no_predecessor")
async def test_limit_of_zero_admits_only_what_shows_its_end(system: MeshSystem) -> None:
    machine = await limited_system(system, b"0")
    for _ in range(5):
        await send_all(system, 10, deadline_ms=200)
    assert len(machine.backend.arrivals) <= 1 + ALLOWED_EXTRA
    machine.backend.rate_limit = None
    await asyncio.sleep(rate_limit.MAX_WINDOW_SECONDS)
    await system.call(system.machines[0])
    statuses = await send_all(system, 10, deadline_ms=2000)
    assert set(statuses) == {200}


@pytest.mark.usefixtures("no_predecessor")
@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"many", b"1e999", b"5,5", b"9" * 400, b"0x10", b"1 2"]
)
async def test_malformed_limit_changes_nothing(system: MeshSystem, value: bytes) -> None:
    machine = await limited_system(system, value)
    statuses = await send_all(system, 20, deadline_ms=2000)
    assert set(statuses) == {200}
    assert system.log.named("backend_limited") == []
    (line,) = system.log.named("backend_limit_unreadable")
    assert line["code"] == 4012
    # A limit in force stays as it is.
    machine.backend.rate_limit = b"5"
    await system.call(system.machines[0])
    machine.backend.rate_limit = value
    before = len(machine.backend.arrivals)
    await send_all(system, 20)
    assert len(machine.backend.arrivals) - before <= LIMIT


async def test_next_incarnation_starts_without_a_limit(system: MeshSystem) -> None:
    machine = await limited_system(system, b"1")
    machine.backend.rate_limit = None
    machine.backend.instance = "i-next"
    machine.backend._sequence = 0
    assert await machine.send_heartbeat() == 200
    statuses = await send_all(system, 20, deadline_ms=2000)
    assert set(statuses) == {200}


@pytest.mark.usefixtures("no_predecessor")
async def test_caller_gets_the_notices_of_the_server(system: MeshSystem) -> None:
    await limited_system(system, b"5")
    _, headers, _ = await system.call(system.machines[0])
    assert headers[b"server-limit"] == b"5"


async def test_server_that_leaves_by_its_answers_gets_no_more_requests(
    system: MeshSystem,
) -> None:
    machine = await limited_system(system, None)
    machine.backend.leaving = True
    await system.call(system.machines[0])
    # It goes on announcing that it is ready.
    assert await machine.send_heartbeat() == 200
    before = len(machine.backend.arrivals)
    statuses = await send_all(system, 20)
    assert set(statuses) == {503}
    assert len(machine.backend.arrivals) == before


@pytest.mark.usefixtures("no_predecessor")
async def test_waiting_requests_do_not_reach_a_server_that_leaves(system: MeshSystem) -> None:
    machine = await limited_system(system, None)
    backend = machine.backend
    backend.slots = 1
    assert await machine.send_heartbeat() == 200
    backend.leaving = True
    backend.may_finish.clear()
    first = asyncio.ensure_future(system.call(system.machines[0]))
    await until(lambda: backend.running == 1)
    others = [asyncio.ensure_future(system.call(machine)) for machine in system.machines[:3]]
    await until(lambda: machine.node.link.gate.waiting > 0)
    before = len(backend.arrivals)
    backend.may_finish.set()
    await asyncio.gather(first, *others)
    assert len(backend.arrivals) == before


async def test_restarted_node_sends_nothing_to_a_server_that_leaves(system: MeshSystem) -> None:
    machine = await limited_system(system, None)
    machine.backend.leaving = True
    await system.call(system.machines[0])
    before = len(machine.backend.arrivals)
    machine.crash()
    machine = await system.restart(machine)
    system.merge_all_peers()
    await system.until_configured(1)
    assert await machine.send_heartbeat() == 200
    await send_all(system, 20)
    assert len(machine.backend.arrivals) == before


async def test_departure_known_from_the_health_check_outlasts_the_first_announcement(
    system: MeshSystem,
) -> None:
    """Guards against a restarted node that takes an announcement for more than the answers say."""
    machine = await limited_system(system, None)
    machine.backend.leaving = True
    await system.call(system.machines[0])
    before = len(machine.backend.arrivals)
    machine.crash()
    machine = await system.restart(machine)
    system.merge_all_peers()
    await system.until_configured(1)
    await send_all(system, 5)
    assert await machine.send_heartbeat() == 200
    await send_all(system, 20)
    assert len(machine.backend.arrivals) == before


async def test_limit_known_from_the_health_check_outlasts_the_first_announcement(
    system: MeshSystem,
) -> None:
    machine = await limited_system(system, b"5")
    machine.backend.healthy = False
    machine.crash()
    machine = await system.restart(machine)
    system.merge_all_peers()
    await system.until_configured(1)
    await send_all(system, 5)
    assert await machine.send_heartbeat() == 200
    before = len(machine.backend.arrivals)
    await send_all(system, 20)
    assert len(machine.backend.arrivals) - before <= LIMIT
