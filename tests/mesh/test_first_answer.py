"""A node that starts admits nothing before its backend server has answered it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.node.call import Refused
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    import pytest

    from standin.mesh_system import MeshSystem


def request() -> RoutedCall:
    """Return a request for the service of the tests."""
    now = asyncio.get_running_loop().time()
    return RoutedCall(
        request_id=RequestId("q"),
        route=RouteName("r"),
        service=ServiceName("shop"),
        caller_service=ServiceName("shop"),
        method=b"GET",
        target=b"/",
        headers=[(b"x-request-id", b"q")],
        body=b"",
        received=now,
        deadline=now + 1.0,
        target_latency=1.0,
        priority=1,
        repeatable=True,
        max_attempts=1,
    )


async def test_request_that_meets_the_first_configuration_is_not_admitted_unread(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a health read that had no path yet, and a decision that has one."""
    machine = await system.add("shop", announced=False)
    machine.backend.healthy = False
    link = machine.node.link

    async def configured_meanwhile() -> None:
        link.health.path = "/healthz"

    monkeypatch.setattr(link._admitter, "read", configured_meanwhile)
    outcome = await link.run(request(), Admission.DIRECT)
    assert isinstance(outcome, Refused)
    assert machine.backend.arrivals == []


async def test_announced_server_gets_nothing_before_its_health_can_be_read(
    system: MeshSystem,
) -> None:
    """Guards against work for a server that announces that it is ready, but answers otherwise."""
    machine = await system.add("shop")
    outcome = await machine.node.link.run(request(), Admission.DIRECT)
    assert isinstance(outcome, Refused)
    assert machine.backend.arrivals == []


async def test_restarted_node_admits_one_request_while_the_health_check_is_silent(
    system: MeshSystem,
) -> None:
    ingress = await system.add("front")
    machine = await system.add("shop", slots=20)
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    machine.crash()
    machine.backend.is_mute = True
    machine = await system.restart(machine)
    system.merge_all_peers()
    await system.until_configured(1)
    backend = machine.backend
    statuses = await asyncio.gather(*(system.call(ingress, deadline_ms=300) for _ in range(4)))
    assert {status for status, _, _ in statuses} == {503}
    assert backend.arrivals == []
    assert await machine.send_heartbeat() == 200
    backend.may_finish.clear()
    calls = [asyncio.ensure_future(system.call(ingress, deadline_ms=2000)) for _ in range(4)]
    await until(lambda: backend.running == 1)
    await until(lambda: sum(call.done() for call in calls) == 3)
    backend.may_finish.set()
    await asyncio.gather(*calls)
    assert len(backend.arrivals) == 1
