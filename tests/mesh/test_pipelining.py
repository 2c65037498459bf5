"""Requests that a caller sends before it has received the answers to earlier ones."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

MANY = 12


async def ingress_and_server(system: MeshSystem) -> tuple[Machine, Machine]:
    ingress = await system.add("front")
    server = await system.add("shop", slots=20)
    system.introduce_all()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    return ingress, server


def request(name: str, *, deadline_ms: int = 2000, more: str = "") -> bytes:
    head = f"GET /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: {name}\r\n"
    return f"{head}x-deadline-ms: {deadline_ms}\r\n{more}\r\n".encode()


async def send(ingress: Machine, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*ingress.node.callers_address)
    writer.write(data)
    return reader, writer


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(5.0):
        return await reader.read()


async def test_answers_come_in_the_order_of_the_requests(system: MeshSystem) -> None:
    ingress, server = await ingress_and_server(system)
    names = [f"p{number}" for number in range(MANY)]
    last = request("last", more="connection: close\r\n")
    reader, writer = await send(ingress, b"".join(map(request, names)) + last)
    answered = await read_until_closed(reader)
    writer.close()
    assert re.findall(rb"body of (\w+?)(?=HTTP|$)", answered) == [
        *(n.encode() for n in names),
        b"last",
    ]
    assert server.backend.runs == [*names, "last"]


async def test_requests_after_a_closing_answer_are_not_forwarded(
    system: MeshSystem,
) -> None:
    ingress, server = await ingress_and_server(system)
    data = request("first", more="connection: close\r\n") + request("second")
    reader, writer = await send(ingress, data)
    answered = await read_until_closed(reader)
    writer.close()
    assert answered.count(b"HTTP/1.1 200") == 1
    await asyncio.sleep(0.1)
    assert server.backend.runs == ["first"]


async def test_requests_after_the_last_answer_of_a_stopping_node_are_not_forwarded(
    system: MeshSystem,
) -> None:
    ingress, server = await ingress_and_server(system)
    server.backend.work_seconds = 0.4
    reader, writer = await send(ingress, request("first") + request("second"))
    await until(lambda: server.backend.running == 1)
    ingress.node._callers.stopping = True
    answered = await read_until_closed(reader)
    writer.close()
    assert b"connection: close" in answered
    assert server.backend.runs == ["first"]


async def test_slow_first_request_uses_up_the_time_of_later_ones(system: MeshSystem) -> None:
    ingress, server = await ingress_and_server(system)
    server.backend.work_seconds = 0.4
    data = request("first") + request("second", deadline_ms=200) + request("third")
    reader, writer = await send(ingress, data)
    async with asyncio.timeout(5.0):
        answered = await reader.readuntil(b"body of third")
    writer.close()
    assert b"2004 DEADLINE_PASSED" in answered
    assert server.backend.runs == ["first", "third"]
    # The queue time is deducted from the time that the backend server is given.
    deadlines = [int(a.headers[b"x-deadline-ms"]) for a in server.backend.arrivals]
    assert deadlines[1] <= 2000 - 390


async def test_reset_cancels_the_requests_of_that_caller(system: MeshSystem) -> None:
    ingress, server = await ingress_and_server(system)
    server.backend.work_seconds = 5.0
    _, writer = await send(ingress, request("first") + request("second"))
    await until(lambda: server.backend.running == 1)
    writer.transport.abort()
    await until(lambda: server.backend.cancelled == ["first"])
    assert server.backend.runs == ["first"]


async def test_read_ahead_is_bounded(system: MeshSystem) -> None:
    ingress, server = await ingress_and_server(system)
    server.backend.work_seconds = 5.0
    _, writer = await send(ingress, b"".join(request(f"p{n}") for n in range(20_000)))
    await until(lambda: server.backend.running == 1)
    await asyncio.sleep(0.3)
    connection = next(iter(ingress.node._callers._connections))
    # The data of one socket read is parsed completely; no more is read after it.
    waiting = len(connection._queue)
    await asyncio.sleep(0.3)
    assert len(connection._queue) == waiting < 20_000
    writer.transport.abort()
