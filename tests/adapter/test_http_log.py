from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http_log import HttpLog
from hoisthook.exceptions import AppendUnknownError
from hoisthook.exceptions import LogUnavailableError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hoisthook.adapter.http.server_exchange import ServerExchange


class Service:
    """A log service whose answers can be lost."""

    def __init__(self) -> None:
        self.appends = 0
        self.mode = "answer"

    async def handle(self, exchange: ServerExchange) -> None:
        while await exchange.body.read():
            pass
        if self.mode == "refuse":
            exchange.respond(503, [])
            return
        self.appends += 1
        if self.mode == "lose":
            exchange.abort()
        elif self.mode == "garble":
            exchange.respond(200, [], b"{")
        else:
            exchange.respond(200, [], b'{"offset":%d}' % (self.appends - 1))


@pytest_asyncio.fixture
async def service() -> AsyncIterator[tuple[Service, HttpLog]]:
    service = Service()
    server = CallServer(("127.0.0.1", 0), service.handle)
    await server.start()
    log = HttpLog(server.address)
    yield service, log
    await log.close()
    server.abort()


async def test_append_on_a_reused_connection_that_drops_is_not_sent_again(
    service: tuple[Service, HttpLog],
) -> None:
    state, log = service
    assert await log.append("s", b"1") == 0
    state.mode = "lose"
    with pytest.raises(AppendUnknownError):
        await log.append("s", b"2")
    assert state.appends == 2


async def test_garbled_answer_is_unknown(service: tuple[Service, HttpLog]) -> None:
    state, log = service
    state.mode = "garble"
    with pytest.raises(AppendUnknownError):
        await log.append("s", b"1")


async def test_refused_append_is_known_not_to_be_taken(service: tuple[Service, HttpLog]) -> None:
    state, log = service
    state.mode = "refuse"
    with pytest.raises(LogUnavailableError):
        await log.append("s", b"1")
    with pytest.raises(LogUnavailableError):
        await log.read("s", 0)


async def test_log_that_cannot_be_connected_to_took_nothing() -> None:
    log = HttpLog(("127.0.0.1", 1))
    with pytest.raises(LogUnavailableError):
        await log.append("s", b"1")
    await log.close()


async def test_cancelled_append_leaves_the_log_usable(service: tuple[Service, HttpLog]) -> None:
    state, log = service
    task = asyncio.ensure_future(log.append("s", b"1"))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    state.appends = 7
    assert await log.append("s", b"2") >= 7
