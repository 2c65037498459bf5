"""A request that was sent whole to a node that is silent: its answer is taken when it comes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.background_tasks import BackgroundTasks
from hoisthook.mesh import mesh_node
from standin.mesh_backend import Fault
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

# No deadline passes on a slow machine.
ROUTE = RouteOptions("shop", target=20.0, timeout=60.0)
DEADLINE_MS = 60_000
CALL_SECONDS = 90.0


@pytest.fixture(autouse=True)
def short_linger(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mesh_node, "LINGER_SECONDS", 1.0)
    monkeypatch.setattr(mesh_node, "ADMIT_WHILE_LEAVING_SECONDS", 0.0)


class Stall:
    """Keeps a node from looking at requests, as a loop that stands still does.

    The end of a connection is not noticed meanwhile either.
    """

    def __init__(self, machine: Machine) -> None:
        self.reached = asyncio.Event()
        self.over = asyncio.Event()
        self.handled = 0
        self._tasks = BackgroundTasks()
        self._handle = machine.node._peers.handler
        machine.node._peers.handler = self._wait

    async def _wait(self, exchange: ServerExchange) -> None:
        exchange.cancel_on_disconnect = False
        self.reached.set()
        await self.over.wait()
        await self._handle(exchange)
        self.handled += 1


async def ingress_and_server(system: MeshSystem) -> tuple[Machine, Machine]:
    ingress = await system.add("front")
    server = await system.add("shop", data_centre="two")
    system.introduce_all()
    system.publish(1, ROUTE)
    await system.until_configured(1)
    return ingress, server


def ask(
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


async def ask_a_node_that_stands_still(
    system: MeshSystem,
) -> tuple[Machine, Stall, asyncio.Task[tuple[int, dict[bytes, bytes], bytes]]]:
    """Return the node, its stall, and a request that is held there."""
    ingress, server = await ingress_and_server(system)
    stall = Stall(server)
    asked = ask(system, ingress)
    await stall.reached.wait()
    return server, stall, asked


def is_silent(system: MeshSystem) -> bool:
    """Return whether the sender has borne the silence for as long as it does."""
    return bool(system.log.named("hop_unheard") or system.log.named("hop_lost"))


@pytest.mark.parametrize("method", [b"GET", b"POST"])
@pytest.mark.parametrize("is_under_way", [True, False])
async def test_leaving_node_does_not_give_up_what_a_silent_node_may_still_run(
    system: MeshSystem, method: bytes, is_under_way: bool
) -> None:
    """Guards against 502 in place of an answer at which a backend server is at work."""
    ingress, server = await ingress_and_server(system)
    stall = Stall(server)
    if is_under_way:
        asked = ask(system, ingress, method)
        await stall.reached.wait()
        closing = asyncio.create_task(ingress.node.close())
    else:
        closing = asyncio.create_task(ingress.node.close())
        await until(lambda: ingress.node.stopping)
        asked = ask(system, ingress, method)
    await until(lambda: is_silent(system))
    stall.over.set()
    status, _, _ = await asked
    await until(lambda: stall.handled > 0)
    assert (status, len(server.backend.runs)) == (200, 1)
    await closing


async def test_late_answer_of_a_silent_node_is_delivered(system: MeshSystem) -> None:
    """Guards against 502 to a request that nobody else can run and that runs all the same."""
    ingress, server = await ingress_and_server(system)
    stall = Stall(server)
    asked = ask(system, ingress)
    await until(lambda: is_silent(system))
    stall.over.set()
    assert (await asked)[0] == 200
    assert len(server.backend.runs) == 1
    assert len(system.log.named("hop_heard")) == 1


async def test_silent_node_answers_what_another_one_has_no_room_for(system: MeshSystem) -> None:
    """Guards against 502 where the other nodes refuse and the silent one comes back."""
    server, stall, asked = await ask_a_node_that_stands_still(system)
    other = await system.add("shop", data_centre="three")
    other.backend.fault = Fault.SHED
    system.introduce_all()
    await until(lambda: len(other.backend.arrivals) > 0)
    stall.over.set()
    assert (await asked)[0] == 200
    assert len(server.backend.runs) == 1


async def test_first_answer_counts_where_another_node_runs_what_a_silent_one_was_sent(
    system: MeshSystem,
) -> None:
    _, stall, asked = await ask_a_node_that_stands_still(system)
    other = await system.add("shop", data_centre="three")
    system.introduce_all()
    assert (await asked)[0] == 200
    assert len(other.backend.runs) == 1
    stall.over.set()
    await until(lambda: stall.handled > 0)


async def test_silent_node_answers_before_another_one_has_done_the_work(
    system: MeshSystem,
) -> None:
    server, stall, asked = await ask_a_node_that_stands_still(system)
    other = await system.add("shop", data_centre="three")
    other.backend.go_on.clear()
    system.introduce_all()
    await until(lambda: other.backend.running > 0)
    stall.over.set()
    assert (await asked)[0] == 200
    await until(lambda: len(other.backend.cancelled) > 0)
    assert (len(server.backend.runs), len(other.backend.runs)) == (1, 1)


async def test_node_that_stood_still_does_not_run_what_was_withdrawn_meanwhile(
    system: MeshSystem,
) -> None:
    """Guards against runs of requests that were answered elsewhere while a loop stood still."""
    server = await system.add("shop")
    reader, writer = await asyncio.open_connection(*server.node.peers_address)
    await until(lambda: bool(server.node._peers._connections))
    # Both arrive before the loop looks at either.
    writer.write(
        b"GET /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\nexpect: 100-continue\r\n"
        b"hoisthook-hop: shop front r-0 q d 1 2000 1000 0 f 0i 0\r\n\r\n"
    )
    writer.write_eof()
    assert await reader.read() == b""
    writer.close()
    assert server.backend.arrivals == []
    assert [line["request"] for line in system.log.named("hop_withdrawn")] == ["q"]


async def test_node_that_is_gone_is_not_heard_out(system: MeshSystem) -> None:
    """What cannot be answered any more is told at once, not held to the target latency."""
    server, stall, asked = await ask_a_node_that_stands_still(system)
    server.node._peers.stop_listening()
    # Long before the target latency is over.
    await until(asked.done)
    assert (await asked)[0] == 502
    assert server.backend.runs == []
    stall.over.set()


async def test_request_runs_on_no_more_backend_servers_than_allowed_while_a_silent_one_may(
    system: MeshSystem,
) -> None:
    """Guards against a third run where one of two was not heard from and the other failed."""
    _, stall, asked = await ask_a_node_that_stands_still(system)
    others = [await system.add("shop", data_centre=f"dc-{number}") for number in range(2)]
    for other in others:
        other.backend.fault = Fault.ERROR
    system.introduce_all()
    await until(lambda: sum(len(other.backend.runs) for other in others) > 0)
    stall.over.set()
    assert (await asked)[0] == 200
    assert sum(len(other.backend.runs) for other in others) == 1
