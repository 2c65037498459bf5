"""A complete request sent to a node that does not respond: a late answer is still delivered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.node_connections import IDENTITY_PATH
from hoisthook.background_tasks import BackgroundTasks
from hoisthook.mesh import mesh_node
from standin.mesh_backend import Fault
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

# Long enough that no deadline passes on a slow machine.
ROUTE = RouteOptions("shop", target=20.0, timeout=60.0)
DEADLINE_MS = 60_000
CALL_SECONDS = 90.0


@pytest.fixture(autouse=True)
def short_shutdown_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mesh_node, "LINGER_SECONDS", 1.0)
    monkeypatch.setattr(mesh_node, "ADMIT_WHILE_LEAVING_SECONDS", 0.0)


class Stall:
    """Keeps a node from processing requests, as a blocked event loop does.

    Closed connections are not noticed during the stall either. The node still states its identity
    unless ``from_identity`` is set, so that requests are sent to it.
    """

    def __init__(self, machine: Machine, *, from_identity: bool = False) -> None:
        self._from_identity = from_identity
        self.reached = asyncio.Event()
        self.over = asyncio.Event()
        self.handled = 0
        self._tasks = BackgroundTasks()
        self._handle = machine.node._peers.handler
        machine.node._peers.handler = self._wait

    async def _wait(self, exchange: ServerExchange) -> None:
        if exchange.head.target == IDENTITY_PATH and not self._from_identity:
            await self._handle(exchange)
            return
        exchange.cancel_on_disconnect = False
        self.reached.set()
        await self.over.wait()
        await self._handle(exchange)
        self.handled += 1


async def ingress_and_server(system: MeshSystem) -> tuple[Machine, Machine]:
    ingress = await system.add("front")
    server = await system.add("shop", data_centre="two")
    system.merge_all_peers()
    system.publish(1, ROUTE)
    await system.until_configured(1)
    return ingress, server


def start_call(
    system: MeshSystem, ingress: Machine, method: bytes = b"GET"
) -> asyncio.Task[tuple[int, dict[bytes, bytes], bytes]]:
    return asyncio.create_task(
        system.call(
            ingress,
            method=method,
            body=b"5" if method == b"POST" else b"",
            deadline_ms=DEADLINE_MS,
            timeout=CALL_SECONDS,
        )
    )


async def call_stalled_node(
    system: MeshSystem, method: bytes = b"GET", *, from_identity: bool = False
) -> tuple[Machine, Stall, asyncio.Task[tuple[int, dict[bytes, bytes], bytes]]]:
    """Return the stalled node, its stall, and the task of a call that is blocked there."""
    ingress, server = await ingress_and_server(system)
    stall = Stall(server, from_identity=from_identity)
    call_task = start_call(system, ingress, method)
    await stall.reached.wait()
    return server, stall, call_task


def is_silence_logged(system: MeshSystem) -> bool:
    """Return whether the admission timeout of the sender has passed."""
    return bool(system.log.named("hop_unheard") or system.log.named("hop_lost"))


@pytest.mark.parametrize("method", [b"GET", b"POST"])
@pytest.mark.parametrize("is_under_way", [True, False])
async def test_leaving_node_awaits_a_request_that_a_silent_node_may_still_run(
    system: MeshSystem, method: bytes, is_under_way: bool
) -> None:
    """Guards against a 502 while a backend server still executes the request."""
    ingress, server = await ingress_and_server(system)
    stall = Stall(server)
    if is_under_way:
        call_task = start_call(system, ingress, method)
        await stall.reached.wait()
        closing = asyncio.create_task(ingress.node.close())
    else:
        closing = asyncio.create_task(ingress.node.close())
        await until(lambda: ingress.node.stopping)
        call_task = start_call(system, ingress, method)
    await until(lambda: is_silence_logged(system))
    stall.over.set()
    status, _, _ = await call_task
    await until(lambda: stall.handled > 0)
    assert (status, len(server.backend.runs)) == (200, 1)
    await closing


async def test_late_answer_of_a_silent_node_is_delivered(system: MeshSystem) -> None:
    """Guards against a 502 for a request that only the silent node can and does execute."""
    ingress, server = await ingress_and_server(system)
    stall = Stall(server)
    call_task = start_call(system, ingress)
    await until(lambda: is_silence_logged(system))
    stall.over.set()
    assert (await call_task)[0] == 200
    assert len(server.backend.runs) == 1
    assert len(system.log.named("hop_heard")) == 1


@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_late_answer_of_a_node_that_states_its_identity_late_is_delivered(
    system: MeshSystem, method: bytes
) -> None:
    server, stall, call_task = await call_stalled_node(system, method, from_identity=True)
    asked_at = asyncio.get_running_loop().time()
    await until(lambda: is_silence_logged(system))
    waited_ms = (asyncio.get_running_loop().time() - asked_at) * 1000.0
    stall.over.set()
    assert (await call_task)[0] == 200
    assert len(server.backend.runs) == 1
    # The backend server is told what is left of the deadline after the wait.
    (arrival,) = server.backend.arrivals
    assert int(arrival.headers[b"x-deadline-ms"]) <= DEADLINE_MS - waited_ms + 1.0


async def test_node_that_has_not_stated_its_identity_runs_nothing_after_another_has(
    system: MeshSystem,
) -> None:
    server, stall, call_task = await call_stalled_node(system, from_identity=True)
    other = await system.add("shop", data_centre="three")
    system.merge_all_peers()
    assert (await call_task)[0] == 200
    assert len(other.backend.runs) == 1
    stall.over.set()
    await until(lambda: stall.handled > 0)
    assert server.backend.arrivals == []


async def test_request_to_a_node_that_ends_without_stating_its_identity_has_not_run(
    system: MeshSystem,
) -> None:
    server, stall, call_task = await call_stalled_node(system, b"POST", from_identity=True)
    server.node._peers.abort()
    await until(call_task.done)
    assert (await call_task)[0] == 503
    assert server.backend.arrivals == []
    stall.over.set()


async def test_silent_node_answers_after_another_node_has_rejected_the_request(
    system: MeshSystem,
) -> None:
    """Guards against a 502 when the other nodes reject the request and the silent one resumes."""
    server, stall, call_task = await call_stalled_node(system)
    other = await system.add("shop", data_centre="three")
    other.backend.fault = Fault.SHED
    system.merge_all_peers()
    await until(lambda: len(other.backend.arrivals) > 0)
    stall.over.set()
    assert (await call_task)[0] == 200
    assert len(server.backend.runs) == 1


async def test_first_answer_is_used_if_another_node_runs_the_request_too(
    system: MeshSystem,
) -> None:
    _, stall, call_task = await call_stalled_node(system)
    other = await system.add("shop", data_centre="three")
    system.merge_all_peers()
    assert (await call_task)[0] == 200
    assert len(other.backend.runs) == 1
    stall.over.set()
    await until(lambda: stall.handled > 0)


async def test_late_answer_cancels_the_attempt_at_another_node(
    system: MeshSystem,
) -> None:
    server, stall, call_task = await call_stalled_node(system)
    other = await system.add("shop", data_centre="three")
    other.backend.may_finish.clear()
    system.merge_all_peers()
    await until(lambda: other.backend.running > 0)
    stall.over.set()
    assert (await call_task)[0] == 200
    await until(lambda: len(other.backend.cancelled) > 0)
    assert (len(server.backend.runs), len(other.backend.runs)) == (1, 1)


async def test_stalled_node_does_not_run_a_request_that_was_withdrawn(
    system: MeshSystem,
) -> None:
    """Guards against execution of requests that were answered elsewhere during a stall."""
    server = await system.add("shop")
    reader, writer = await asyncio.open_connection(*server.node.peers_address)
    await until(lambda: bool(server.node._peers._connections))
    # The request and the end of the stream arrive before the event loop reads either.
    writer.write(
        b"GET /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\nexpect: 100-continue\r\n"
        b"hoisthook-hop: shop front r-0 q d 1 2000 1000 0 f 0i 0\r\n\r\n"
    )
    writer.write_eof()
    assert await reader.read() == b""
    writer.close()
    assert server.backend.arrivals == []
    assert [line["request"] for line in system.log.named("hop_withdrawn")] == ["q"]


async def test_outcome_at_a_stopped_node_is_not_awaited(system: MeshSystem) -> None:
    """An answer that can no longer come is reported as lost at once, not at the target latency."""
    server, stall, call_task = await call_stalled_node(system)
    server.node._peers.stop_listening()
    # Long before the target latency has passed.
    await until(call_task.done)
    assert (await call_task)[0] == 502
    assert server.backend.runs == []
    stall.over.set()


async def test_pending_attempt_counts_towards_the_limit_of_attempts(
    system: MeshSystem,
) -> None:
    """Guards against a third execution after one attempt is pending and another has failed."""
    _, stall, call_task = await call_stalled_node(system)
    others = [await system.add("shop", data_centre=f"dc-{number}") for number in range(2)]
    for other in others:
        other.backend.fault = Fault.ERROR
    system.merge_all_peers()
    await until(lambda: sum(len(other.backend.runs) for other in others) > 0)
    stall.over.set()
    assert (await call_task)[0] == 200
    assert sum(len(other.backend.runs) for other in others) == 1
