from __future__ import annotations

import asyncio
import resource
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.call_server import BACKLOG_SHARE
from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.connection_limits import connection_limits
from tests.waiting import until

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
LOCAL_LISTENERS = 3


@pytest.mark.parametrize("descriptors", [64, 128, 1024, 4100, 8192])
def test_all_listeners_together_leave_descriptors_for_files_and_own_connections(
    descriptors: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against listeners that may each use up the descriptors of the process."""
    monkeypatch.setattr(resource, "getrlimit", lambda _: (descriptors, descriptors))
    limits = connection_limits(0)
    accepted = limits.callers + limits.peers + LOCAL_LISTENERS * limits.local
    assert (1 + BACKLOG_SHARE) * accepted < 0.9 * descriptors
    assert connection_limits(descriptors + 1) == limits
    assert connection_limits(descriptors // 2).callers < limits.callers


def test_limits_are_known_where_nothing_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    unlimited = resource.RLIM_INFINITY
    monkeypatch.setattr(resource, "getrlimit", lambda _: (unlimited, unlimited))
    assert connection_limits(0).callers > 0


async def test_new_connection_takes_the_place_of_an_unused_then_of_an_idle_one() -> None:
    """Guards against connections without a request that keep others out."""
    may_answer = asyncio.Event()

    async def handle(exchange: ServerExchange) -> None:
        if exchange.head.target == b"/slow":
            await may_answer.wait()
        exchange.respond(200, [])

    server = CallServer(("127.0.0.1", 0), handle, max_connections=3)
    await server.start()

    async def connect(data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(data)
        return reader, writer

    used, used_writer = await connect(REQUEST)
    assert b"200 OK" in await used.readuntil(b"\r\n\r\n")
    busy, busy_writer = await connect(REQUEST.replace(b"/", b"/slow", 1))
    await until(lambda: sum(c.busy for c in server._connections) == 1)
    unused, unused_writer = await connect(b"")
    await until(lambda: len(server._connections) == 3)
    new, new_writer = await connect(REQUEST)
    assert b"200 OK" in await new.readuntil(b"\r\n\r\n")
    assert await unused.read() == b""
    newest, newest_writer = await connect(REQUEST)
    assert b"200 OK" in await newest.readuntil(b"\r\n\r\n")
    assert await used.read() == b""
    may_answer.set()
    assert b"200 OK" in await busy.readuntil(b"\r\n\r\n")
    for writer in (used_writer, busy_writer, unused_writer, new_writer, newest_writer):
        writer.transport.abort()
    server.abort()
