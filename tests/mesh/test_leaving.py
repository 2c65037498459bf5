from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.call_server import CallServer
from hoisthook.identity import InstanceId
from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.identity import parse_address
from hoisthook.local_backend.repeat_limit import RepeatLimit
from hoisthook.membership.backend_incarnation import BackendIncarnation
from hoisthook.mesh import mesh_node
from hoisthook.mesh import peer_hop
from hoisthook.mesh.announcement import Announcement
from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival_budget import RERUN_SHARE
from hoisthook.settings.mesh_settings import MeshRetrySettings
from standin.mesh_backend import Fault
from standin.published_configuration import RouteOptions
from tests.observed_backends import make_observed_backend

if TYPE_CHECKING:
    from hoisthook.local_backend.repeat_limit import ArrivingRequest
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

# A request whose sender sends the body once the node asks for it.
HELD_BACK_HEAD = (
    b"POST /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\nexpect: 100-continue\r\n"
    b"transfer-encoding: chunked\r\n"
    b"hoisthook-hop: shop front r-0 q d 1 2000 1000 0 f 0i 0\r\n\r\n"
)


@pytest.fixture(autouse=True)
def short_linger(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mesh_node, "LINGER_SECONDS", 0.2)
    monkeypatch.setattr(mesh_node, "ADMIT_WHILE_LEAVING_SECONDS", 0.0)


async def ingress_and_shops(system: MeshSystem, count: int, *, safe: bool = True) -> list[Machine]:
    """Return an ingress node of another service and ``count`` nodes of the route's service."""
    machines = [await system.add("front")]
    for number in range(count):
        machines.append(await system.add("shop", data_centre=f"dc-{number}"))
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop", safe=safe))
    await system.until_configured(1)
    return machines


async def test_stopping_node_finishes_running_requests_and_admits_no_more(
    system: MeshSystem,
) -> None:
    ingress, server = await ingress_and_shops(system, 1, safe=False)
    server.backend.work_seconds = 0.5
    running = asyncio.create_task(system.call(ingress, method=b"POST", request_id="runs"))
    await server.backend.arrived.wait()
    closing = asyncio.create_task(server.node.close())
    while not server.node.link.stopping:
        await asyncio.sleep(0)
    assert not server.node.ready
    status, _, _ = await system.call(ingress, method=b"POST", request_id="late")
    assert status == 503
    assert (await running)[0] == 200
    assert await closing
    assert server.backend.runs == ["runs"]


async def test_leaving_node_runs_requests_that_no_other_can_start(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(mesh_node, "ADMIT_WHILE_LEAVING_SECONDS", 0.2)
    ingress, first, second = await ingress_and_shops(system, 2)
    closing = asyncio.create_task(first.node.close())
    await asyncio.sleep(0)
    assert (await system.call(ingress))[0] == 200
    assert first.backend.runs == []
    assert await second.send_heartbeat("draining") == 200
    assert (await system.call(ingress))[0] == 200
    assert len(first.backend.runs) == 1
    assert await closing


async def test_stopping_node_serves_its_callers_and_closes_their_connections(
    system: MeshSystem,
) -> None:
    ingress, _ = await ingress_and_shops(system, 1)
    closing = asyncio.create_task(ingress.node.close())
    await asyncio.sleep(0)
    status, headers, _ = await system.call(ingress)
    assert (status, headers[b"connection"]) == (200, b"close")
    assert await closing


async def test_request_that_waits_for_a_slot_goes_elsewhere_when_its_backend_server_drains(
    system: MeshSystem,
) -> None:
    ingress, first, second = await ingress_and_shops(system, 2)
    system.publish(2, RouteOptions("shop", target=2.0, timeout=20.0))
    await system.until_configured(2)
    for machine in (first, second):
        machine.backend.may_finish.clear()
    calls = [asyncio.create_task(system.call(ingress)) for _ in range(8)]
    async with asyncio.timeout(10.0):
        while first.backend.running + second.backend.running < 8:
            await asyncio.sleep(0.005)
    waiting = asyncio.create_task(system.call(ingress))
    async with asyncio.timeout(10.0):
        while not first.node.link.gate.waiting + second.node.link.gate.waiting:
            await asyncio.sleep(0.001)
    drained = first if first.node.link.gate.waiting else second
    arrivals = len(drained.backend.arrivals)
    assert await drained.send_heartbeat("draining") == 200
    # It is refused at once, not when a slot becomes free.
    assert drained.node.link.gate.waiting == 0
    for machine in (first, second):
        machine.backend.may_finish.set()
    await waiting
    await asyncio.gather(*calls)
    assert len(drained.backend.arrivals) == arrivals


async def test_node_of_a_draining_backend_server_refuses_without_asking_for_the_body(
    system: MeshSystem,
) -> None:
    """A sender with an outdated view loses no time: it is refused before it sends the body."""
    _, server = await ingress_and_shops(system, 1)
    assert await server.send_heartbeat("draining") == 200
    reader, writer = await asyncio.open_connection(*server.node.peers_address)
    writer.write(HELD_BACK_HEAD)
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.split()[1] == b"503"
    assert b"hoisthook-result: 2003\r\n" in head
    assert server.backend.arrivals == []
    writer.close()


async def test_admitted_request_is_not_sent_if_its_backend_server_drains_before_the_body_arrives(
    system: MeshSystem,
) -> None:
    _, server = await ingress_and_shops(system, 1)
    reader, writer = await asyncio.open_connection(*server.node.peers_address)
    writer.write(HELD_BACK_HEAD)
    assert (await reader.readuntil(b"\r\n\r\n")).split()[1] == b"100"
    assert await server.send_heartbeat("draining") == 200
    writer.write(b"1\r\n5\r\n0\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.split()[1] == b"503"
    assert b"hoisthook-result: 2003\r\n" in head
    assert server.backend.arrivals == []
    writer.close()


async def test_no_more_backend_servers_run_a_request_than_its_route_allows(
    system: MeshSystem,
) -> None:
    ingress, *servers = await ingress_and_shops(system, 3)
    for server in servers:
        server.backend.fault = Fault.ERROR
    status, _, _ = await system.call(ingress)
    assert status == 500
    assert sum(len(server.backend.runs) for server in servers) == 2


async def test_refusal_after_a_lost_try_is_not_reported_as_not_run(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    ingress, near, far = await ingress_and_shops(system, 2)
    near.backend.fault = Fault.RESET
    far.backend.fault = Fault.RESET
    refuse = RepeatLimit.refuse

    def refuse_second(limit: RepeatLimit, call: ArrivingRequest) -> Refused | None:
        # The first try is lost; the server of the second one sheds it, and no third try is made.
        if call.arrival.is_repeat:
            near.backend.fault = far.backend.fault = Fault.SHED
        return refuse(limit, call)

    monkeypatch.setattr(RepeatLimit, "refuse", refuse_second)
    status, _, _ = await system.call(ingress)
    assert len(near.backend.arrivals) + len(far.backend.arrivals) == 2
    assert status == 502


async def test_budget_bounds_the_extra_tries_of_a_service_that_fails(system: MeshSystem) -> None:
    system.retry = MeshRetrySettings(window_seconds=0.1, extra=30.0)
    ingress, *servers = await ingress_and_shops(system, 3)
    for server in servers:
        server.backend.fault = Fault.ERROR
    calls = 600
    clock = asyncio.get_running_loop()
    started = clock.time()
    for _ in range(calls):
        await system.call(ingress)
    windows = (clock.time() - started) / system.retry.window_seconds + 1
    # Reruns get only a part of the budget, since the calls that they make count as repeats too.
    allowed = RERUN_SHARE * (calls * system.retry.ratio + windows * system.retry.extra)
    runs = sum(len(server.backend.runs) for server in servers)
    assert calls < runs <= calls + allowed
    assert any(not line["granted"] for line in system.log.named("extra_try"))


async def test_replaced_node_at_the_same_address_is_used_again(system: MeshSystem) -> None:
    ingress, server = await ingress_and_shops(system, 1)
    assert (await system.call(ingress))[0] == 200
    server.crash()
    assert (await system.call(ingress))[0] in (502, 503)
    address = parse_address(server.node.settings.listen.peers)
    server.node._peers = CallServer(address, server.node._serve_peer)
    await server.node._peers.start()
    async with asyncio.timeout(5.0):
        while (await system.call(ingress))[0] != 200:
            await asyncio.sleep(0.02)


async def test_hop_cut_after_the_request_was_sent_is_not_reported_as_not_run(
    system: MeshSystem,
) -> None:
    ingress, server = await ingress_and_shops(system, 1, safe=False)
    server.backend.work_seconds = 30.0
    running = asyncio.create_task(system.call(ingress, method=b"POST"))
    await server.backend.arrived.wait()
    server.crash()
    status, _, _ = await running
    assert status == 502
    assert system.log.named("hop_lost")


async def test_silent_node_costs_one_connection_timeout_and_is_then_skipped(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    ingress, _ = await ingress_and_shops(system, 1)
    near = await system.add("shop", data_centre="one")
    system.merge_all_peers()
    opened: list[object] = []
    original_open = ingress.node._peer_pool.open

    async def open_or_time_out(address: tuple[str, int], timeout: float) -> object:
        opened.append(address)
        if address == near.node.peers_address:
            await asyncio.sleep(0)
            raise peer_hop.UnreachableError("silent")
        return await original_open(address, timeout)

    monkeypatch.setattr(ingress.node._peer_pool, "open", open_or_time_out)
    for _ in range(10):
        assert (await system.call(ingress))[0] == 200
    assert opened.count(near.node.peers_address) == 1


async def test_drained_backend_server_is_used_again_once_it_is_ready(system: MeshSystem) -> None:
    ingress, server = await ingress_and_shops(system, 1)
    assert await server.send_heartbeat("draining") == 200
    assert (await system.call(ingress))[0] == 503
    assert await server.send_heartbeat("ready") == 200
    assert (await system.call(ingress))[0] == 200


async def test_forgotten_peers_are_found_again_in_the_store(system: MeshSystem) -> None:
    ingress, _ = await ingress_and_shops(system, 1)
    async with asyncio.timeout(5.0):
        while len(system.log.named("registered")) < 2:
            await asyncio.sleep(0.01)
    ingress.node.directory.forget("node-2", "test")  # type: ignore[arg-type]
    await ingress.node._registration._read()
    assert len(list(ingress.node.directory.serving(ServiceName("shop")))) == 1


def announcement(instance: str, sequence: int, *, draining: bool = False) -> Announcement:
    return Announcement(InstanceId(instance), sequence, draining, slots=4, cold_seconds=0.0)


def test_answer_overrides_a_late_heartbeat_of_an_unknown_incarnation() -> None:
    """Guards against a restarted node that follows a heartbeat of a dead incarnation.

    A restarted node knows no earlier incarnation, so it cannot tell that the heartbeat is late.
    """
    observed_backend = make_observed_backend()
    observed_backend.announced(announcement("new", 5))
    observed_backend.announced(announcement("dead", 90))
    observed_backend.answered_as(InstanceId("new"), observed_backend.evidence.now())
    assert observed_backend.instance == "new"
    assert observed_backend.takes_work
    observed_backend.announced(announcement("new", 6, draining=True))
    assert not observed_backend.takes_work


def test_answer_does_not_undo_the_drain_of_the_incarnation_that_gives_it() -> None:
    observed_backend = make_observed_backend()
    observed_backend.announced(announcement("new", 5, draining=True))
    observed_backend.announced(announcement("dead", 90))
    observed_backend.answered_as(InstanceId("new"), observed_backend.evidence.now())
    assert observed_backend.instance == "new"
    assert not observed_backend.takes_work


def test_answer_does_not_restore_a_deregistered_incarnation() -> None:
    observed_backend = make_observed_backend()
    observed_backend.announced(announcement("old", 5))
    observed_backend.deregistered(BackendIncarnation(InstanceId("old")))
    observed_backend.announced(announcement("new", 1))
    observed_backend.answered_as(InstanceId("old"), observed_backend.evidence.now())
    assert observed_backend.instance == "new"


async def test_restarted_node_admits_nothing_before_it_can_read_health(
    system: MeshSystem,
) -> None:
    """Guards against requests to a draining server after a kill while the store is unavailable.

    Without a configuration the node does not know the address of the health check.
    """
    shop = await system.add("shop", announced=False)
    call = RoutedCall(
        request_id=RequestId("q"),
        route=RouteName("r"),
        service=ServiceName("shop"),
        caller_service=ServiceName("front"),
        method=b"GET",
        target=b"/x",
        headers=[(b"x-request-id", b"q")],
        body=b"",
        received=asyncio.get_running_loop().time(),
        deadline=asyncio.get_running_loop().time() + 2.0,
        target_latency=1.0,
        priority=1,
        repeatable=True,
        max_attempts=2,
    )
    outcome = await shop.node.link.run(call, Admission.DIRECT)
    assert isinstance(outcome, Refused)
    assert outcome.code is ResultCode.CONFIGURATION_MISSING
    assert shop.backend.arrivals == []
    # Announced as ready, but its answers may say that it leaves.
    assert await shop.send_heartbeat() == 200
    outcome = await shop.node.link.run(call, Admission.DIRECT)
    assert isinstance(outcome, Refused)
    assert outcome.code is ResultCode.CONFIGURATION_MISSING
    assert shop.backend.arrivals == []
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    assert isinstance(await shop.node.link.run(call, Admission.DIRECT), CompleteAnswer)
