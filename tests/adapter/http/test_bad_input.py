"""Oversized, malformed, slow and hostile requests get a numbered error and harm no other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.adapter.http.call_server import CallServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hoisthook.adapter.http.server_exchange import ServerExchange


async def echo(exchange: ServerExchange) -> None:
    body = b""
    while data := await exchange.body.read():
        body += data
    exchange.respond(200, [], exchange.head.target + b"|" + body)


@pytest_asyncio.fixture
async def server() -> AsyncIterator[CallServer]:
    server = CallServer(("127.0.0.1", 0), echo, head_timeout=0.2)
    await server.start()
    yield server
    server.abort()


async def exchange_bytes(server: CallServer, data: bytes, *, finish: bool = True) -> bytes:
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(data)
    if finish:
        writer.write_eof()
    try:
        async with asyncio.timeout(10):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.transport.abort()


GOOD_REQUEST = b"GET /good HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "number"),
    [
        (b"nonsense\r\n\r\n", b"1003"),
        (b"GET / HTTP/1.1\r\n: empty\r\n\r\n", b"1003"),
        (b"GET / HTTP/1.1\r\nhost: x\r\nhost\x00: x\r\n\r\n", b"1003"),
        (b"GET / HTTP/1.1\r\na: " + b"x" * 40_000 + b"\r\n\r\n", b"1004"),
        (b"GET /" + b"x" * 40_000 + b" HTTP/1.1\r\n\r\n", b"1004"),
        (b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n", b"1003"),
        (
            b"POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            b"1003",
        ),
        (b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", b"1003"),
        (b"CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n", b"1003"),
    ],
)
async def test_bad_request_gets_a_numbered_error(
    server: CallServer, data: bytes, number: bytes
) -> None:
    answer = await exchange_bytes(server, data)
    assert b"hoisthook-result: " + number in answer
    assert b"hoisthook-ran: not-run" in answer
    assert b"/good|" in await exchange_bytes(server, GOOD_REQUEST)


async def test_slow_head_is_timed_out(server: CallServer) -> None:
    answer = await exchange_bytes(server, b"GET / HT", finish=False)
    assert b"hoisthook-result: 1010" in answer


async def test_silent_connection_is_closed(server: CallServer) -> None:
    assert await exchange_bytes(server, b"", finish=False) == b""


async def test_truncated_body_is_not_a_complete_request(server: CallServer) -> None:
    answer = await exchange_bytes(server, b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc")
    assert b"200 OK" not in answer


async def test_answer_before_the_bodys_end_says_that_the_connection_closes() -> None:
    async def reject(exchange: ServerExchange) -> None:
        exchange.respond(503, [])

    server = CallServer(("127.0.0.1", 0), reject)
    await server.start()
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n"
    assert b"connection: close" in await exchange_bytes(server, head, finish=False)
    server.abort()


async def test_many_pipelined_requests_are_answered_in_order(server: CallServer) -> None:
    requests = [b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % number for number in range(50)]
    answer = await exchange_bytes(server, b"".join(requests) + GOOD_REQUEST, finish=False)
    targets = [line.split(b"|")[0] for line in answer.split(b"\r\n\r\n")[1:] if b"|" in line]
    assert targets == [b"/%d" % number for number in range(50)] + [b"/good"]


@given(st.lists(st.binary(min_size=1, max_size=60), max_size=8))
def test_any_bytes_leave_the_server_serving(pieces: list[bytes]) -> None:
    async def send_and_check() -> None:
        server = CallServer(("127.0.0.1", 0), echo, head_timeout=0.2)
        await server.start()
        try:
            await exchange_bytes(server, b"".join(pieces))
            assert b"/good|" in await exchange_bytes(server, GOOD_REQUEST)
        finally:
            server.abort()

    asyncio.run(send_and_check())
