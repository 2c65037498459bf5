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
    """A log service that can reject appends, lose answers or send malformed ones."""

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
    fake_service, log = service
    assert await log.append("s", b"1") == 0
    fake_service.mode = "lose"
    with pytest.raises(AppendUnknownError):
        await log.append("s", b"2")
    assert fake_service.appends == 2


async def test_malformed_append_answer_leaves_the_outcome_unknown(
    service: tuple[Service, HttpLog],
) -> None:
    fake_service, log = service
    fake_service.mode = "garble"
    with pytest.raises(AppendUnknownError):
        await log.append("s", b"1")


async def test_rejected_append_is_known_to_have_failed(service: tuple[Service, HttpLog]) -> None:
    fake_service, log = service
    fake_service.mode = "refuse"
    with pytest.raises(LogUnavailableError):
        await log.append("s", b"1")
    with pytest.raises(LogUnavailableError):
        await log.read("s", 0)


async def test_append_to_an_unreachable_log_is_known_to_have_failed() -> None:
    log = HttpLog(("127.0.0.1", 1))
    with pytest.raises(LogUnavailableError):
        await log.append("s", b"1")
    await log.close()


async def test_cancelled_append_leaves_the_log_usable(service: tuple[Service, HttpLog]) -> None:
    fake_service, log = service
    task = asyncio.ensure_future(log.append("s", b"1"))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    fake_service.appends = 7
    assert await log.append("s", b"2") >= 7
