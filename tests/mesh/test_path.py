from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.result_code import ResultCode
from standin.mesh_backend import Fault
from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem


async def two_services(system: MeshSystem, *, safe: bool = True) -> tuple[Machine, Machine]:
    """Return an ingress node of another service, and the node that serves the route."""
    ingress = await system.add("front")
    server = await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop", safe=safe))
    await system.until_configured(1)
    return ingress, server


async def test_request_reaches_the_routes_service_and_its_answer_comes_back(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    status, headers, body = await system.call(ingress, "/x/1?y=2", request_id="abc")
    assert (status, body) == (200, b"body of abc")
    assert headers[b"x-response-signature"] == b"sound"
    (arrival,) = server.backend.arrivals
    assert arrival.target == b"/x/1?y=2"
    assert arrival.headers[b"x-caller-service"] == b"front"
    assert arrival.headers[b"x-expect-instance"] == b"i-2"
    assert 0 < int(arrival.headers[b"x-deadline-ms"]) <= 2000
    assert not [name for name in arrival.headers if name.startswith(b"hoisthook")]
    assert not [name for name in headers if name.startswith(b"hoisthook")]


async def test_body_is_forwarded_unchanged(system: MeshSystem) -> None:
    ingress, server = await two_services(system, safe=False)
    body = bytes(range(256)) * 100
    status, _, _ = await system.call(ingress, method=b"POST", body=body)
    assert status == 200
    assert server.backend.arrivals[0].body == body


async def test_callers_own_service_header_is_replaced(system: MeshSystem) -> None:
    ingress, server = await two_services(system)
    reader, writer = await asyncio.open_connection(*ingress.node.callers_address)
    writer.write(
        b"GET /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\nx-caller-service: liar\r\n"
        b"x-expect-instance: liar\r\n\r\n"
    )
    assert (await reader.readline()).split()[1] == b"200"
    writer.close()
    assert server.backend.arrivals[0].headers[b"x-caller-service"] == b"front"
    assert server.backend.arrivals[0].headers[b"x-expect-instance"] == b"i-2"


async def test_without_configuration_a_node_is_not_ready_and_answers_503(
    system: MeshSystem,
) -> None:
    machine = await system.add("shop")
    status, headers, _ = await system.call(machine)
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert not machine.node.ready


async def test_unknown_route_is_answered_404(system: MeshSystem) -> None:
    ingress, _ = await two_services(system)
    status, _, _ = await system.call(ingress, host="b.example")
    assert status == 404


async def test_missing_backend_server_is_answered_503_with_retry_after(
    system: MeshSystem,
) -> None:
    ingress = await system.add("front")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    status, headers, _ = await system.call(ingress)
    assert status == 503
    assert float(headers[b"retry-after"]) > 0


async def test_request_with_a_short_target_waits_until_a_slot_is_free(
    system: MeshSystem,
) -> None:
    ingress = await system.add("front")
    server = await system.add("shop", slots=1)
    system.merge_all_peers()
    system.publish(
        1,
        RouteOptions("shop", target=0.02),
        RouteOptions("shop", prefix="/long/", target=1.0),
    )
    await system.until_configured(1)
    server.backend.work_seconds = 0.2
    long_call = asyncio.create_task(system.call(ingress, path="/long/x"))
    async with asyncio.timeout(10.0):
        while not server.backend.running:
            await asyncio.sleep(0.001)
    assert (await system.call(ingress))[0] == 200
    assert (await long_call)[0] == 200


@pytest.mark.parametrize(
    "fault", [Fault.NO_SIGNATURE, Fault.ENCODED, Fault.CUT_SHORT, Fault.NO_PROTOCOL, Fault.RESET]
)
async def test_spoiled_answer_to_an_unsafe_request_is_502_and_is_not_sent_again(
    system: MeshSystem, fault: Fault
) -> None:
    ingress, server = await two_services(system, safe=False)
    other = await system.add("shop")
    system.merge_all_peers()
    server.backend.fault = fault
    other.backend.fault = fault
    status, headers, _ = await system.call(ingress, method=b"POST")
    assert status == 502
    assert b"x-response-signature" not in headers
    assert len(server.backend.runs) + len(other.backend.runs) == 1


@pytest.mark.parametrize("fault", [Fault.CUT_SHORT, Fault.RESET, Fault.ERROR, Fault.NO_SIGNATURE])
async def test_failed_safe_request_is_tried_at_another_backend_server(
    system: MeshSystem, fault: Fault
) -> None:
    ingress, server = await two_services(system)
    other = await system.add("shop", data_centre="two")
    system.merge_all_peers()
    server.backend.fault = fault
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert len(other.backend.runs) == 1


async def test_promise_without_proof_is_not_forwarded_as_a_promise(system: MeshSystem) -> None:
    ingress, server = await two_services(system, safe=False)
    server.backend.fault = Fault.PROMISE_WITHOUT_PROOF
    status, _, _ = await system.call(ingress, method=b"POST")
    assert status == 502


async def test_request_that_a_backend_server_sheds_goes_to_another(system: MeshSystem) -> None:
    ingress, server = await two_services(system, safe=False)
    other = await system.add("shop", data_centre="two")
    system.merge_all_peers()
    server.backend.fault = Fault.SHED
    status, _, _ = await system.call(ingress, method=b"POST")
    assert status == 200
    assert (server.backend.runs, len(other.backend.runs)) == ([], 1)


async def test_answer_without_length_ends_with_its_connection(system: MeshSystem) -> None:
    ingress, server = await two_services(system)
    server.backend.fault = Fault.NO_LENGTH
    status, headers, body = await system.call(ingress, request_id="q")
    assert (status, body) == (200, b"body of q")
    assert headers[b"content-length"] == b"%d" % len(body)


async def test_answer_to_another_request_is_ignored(system: MeshSystem) -> None:
    ingress, server = await two_services(system)
    server.backend.fault = Fault.FOREIGN_FIRST
    status, _, body = await system.call(ingress, request_id="mine")
    assert (status, body) == (200, b"body of mine")


async def test_replaced_incarnation_is_learned_and_the_request_runs_there(
    system: MeshSystem,
) -> None:
    # The address of the former incarnation cannot belong to another service yet.
    system.reuse_after_seconds = 60.0
    ingress, server = await two_services(system, safe=False)
    # Afterwards the node has an answer, and does not read the health of the server first.
    await system.call(ingress, method=b"POST")
    server.backend.instance = "i-new"
    status, _, _ = await system.call(ingress, method=b"POST")
    assert status == 200
    assert server.backend.runs == ["q1", "q2"]
    expected = [a.headers[b"x-expect-instance"] for a in server.backend.arrivals]
    assert expected == [b"i-2", b"i-2", b"i-new"]


async def test_disconnect_of_a_caller_cancels_its_request_at_the_backend_server(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    server.backend.work_seconds = 30.0
    call = asyncio.create_task(system.call(ingress, deadline_ms=60_000, request_id="gone"))
    await server.backend.arrived.wait()
    call.cancel()
    async with asyncio.timeout(10.0):
        while server.backend.cancelled != ["gone"]:
            await asyncio.sleep(0.01)
    assert server.node.link.gate.running == 0


async def test_passed_deadline_is_answered_504(system: MeshSystem) -> None:
    ingress, server = await two_services(system)
    server.backend.work_seconds = 30.0
    status, _, _ = await system.call(ingress, deadline_ms=100)
    assert status == 504


async def test_route_timeout_caps_the_callers_deadline(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    system.publish(2, RouteOptions("shop", timeout=0.1))
    await system.until_configured(2)
    server.backend.work_seconds = 30.0
    status, _, _ = await system.call(ingress, deadline_ms=60_000)
    assert status == 504


async def test_draining_backend_server_gets_no_request_after_its_acknowledgement(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    assert await server.send_heartbeat("draining") == 200
    status, _, _ = await system.call(ingress)
    assert status == 503
    assert server.backend.arrivals == []


async def test_deregistered_backend_server_gets_no_request_even_after_a_late_heartbeat(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    assert await server.backend.deregister(server.endpoints.announcements_address) == 200
    assert await server.send_heartbeat() == 200
    status, _, _ = await system.call(ingress)
    assert status == 503
    assert server.backend.arrivals == []


async def test_older_heartbeat_does_not_undo_a_drain(system: MeshSystem) -> None:
    ingress, server = await two_services(system)
    assert await server.send_heartbeat("draining") == 200
    announcements_address = server.endpoints.announcements_address
    assert await server.backend.send_heartbeat(announcements_address, sequence=1) == 200
    status, _, _ = await system.call(ingress)
    assert status == 503


async def test_restarted_node_finds_a_draining_backend_server_by_its_health(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    server.crash()
    server.backend.healthy = False
    restarted = await system.add("shop", backend=server.backend, announced=False)
    system.merge_all_peers()
    await system.until_configured(1)
    status, _, _ = await system.call(ingress)
    assert status == 503
    assert server.backend.arrivals == []
    assert not restarted.node.link.observed_backend.takes_work


async def test_no_more_than_the_limit_run_at_once_and_the_rest_is_refused_at_once(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    server.backend.work_seconds = 0.3
    answers = await asyncio.gather(*(system.call(ingress) for _ in range(12)))
    statuses = sorted(status for status, _, _ in answers)
    assert server.backend.max_running <= 4
    assert statuses[0] == 200
    assert set(statuses) <= {200, 503}
    refused = [headers for status, headers, _ in answers if status == 503]
    assert all(float(headers[b"retry-after"]) > 0 for headers in refused)


async def test_request_avoids_a_slow_backend_server_if_a_fast_one_exists(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    other = await system.add("shop", data_centre="two")
    system.merge_all_peers()
    server.backend.slowdown = 400
    await server.node.link.health.read()
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert (server.backend.runs, len(other.backend.runs)) == ([], 1)


async def test_request_runs_at_a_slow_backend_server_if_there_is_no_other(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    server.backend.slowdown = 400
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert len(server.backend.runs) == 1


async def test_unreachable_node_is_skipped(system: MeshSystem) -> None:
    ingress, server = await two_services(system, safe=False)
    other = await system.add("shop", data_centre="two")
    system.merge_all_peers()
    server.crash()
    status, _, _ = await system.call(ingress, method=b"POST")
    assert status == 200
    assert len(other.backend.runs) == 1
    assert system.log.named("peer_unreachable")


async def test_node_whose_address_serves_another_service_now_is_forgotten(
    system: MeshSystem,
) -> None:
    ingress, server = await two_services(system)
    server.node._hop_server._service = "bakery"  # type: ignore[assignment]
    status, _, _ = await system.call(ingress)
    assert status == 503
    assert server.backend.arrivals == []
    assert [view.peer.node for view in ingress.node.directory.serving("shop")] == []  # type: ignore[arg-type]


async def test_split_route_keeps_its_weights_if_one_part_refuses(
    system: MeshSystem,
) -> None:
    ingress = await system.add("front")
    big = await system.add("big")
    small = await system.add("small")
    system.merge_all_peers()
    system.publish(1, RouteOptions("", weights={"big": 90, "small": 10}))
    await system.until_configured(1)
    assert await small.send_heartbeat("draining") == 200
    statuses = [(await system.call(ingress))[0] for _ in range(50)]
    assert statuses.count(200) == len(big.backend.runs) == 45
    assert statuses.count(503) == 5


async def test_every_request_is_logged_with_its_id_and_outcome(system: MeshSystem) -> None:
    ingress, server = await two_services(system)
    await system.call(ingress, request_id="seen")
    server.backend.fault = Fault.RESET
    await system.call(ingress, request_id="lost")
    lines = {line["request"]: line for line in system.log.named("answered")}
    assert lines["seen"]["code"] == ResultCode.OK.number
    assert lines["lost"]["code"] == ResultCode.ANSWER_LOST.number
    assert lines["lost"]["service"] == "shop"
    assert [line["request"] for line in system.log.named("backend_lost")] == ["lost"]


async def test_log_fields_do_not_override_time_node_or_event(system: MeshSystem) -> None:
    ingress, server = await two_services(system)
    await system.call(ingress)
    server.backend.fault = Fault.ERROR
    await system.call(ingress)
    server.crash()
    await system.call(ingress)
    for _, fields in system.log.lines:
        assert not fields.keys() & {"time", "node", "event"}


async def test_body_beyond_the_limit_is_413(system: MeshSystem) -> None:
    ingress, server = await two_services(system, safe=False)
    status, _, _ = await system.call(ingress, method=b"POST", body=b"x" * 100_001)
    assert status == 413
    assert server.backend.arrivals == []


async def test_request_without_an_id_is_400(system: MeshSystem) -> None:
    ingress, _ = await two_services(system)
    reader, writer = await asyncio.open_connection(*ingress.node.callers_address)
    writer.write(b"GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n")
    assert (await reader.readline()).split()[1] == b"400"
    writer.close()
