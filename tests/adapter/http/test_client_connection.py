"""A connection is reused only after a complete, framed answer without surplus bytes."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.exceptions import BrokenExchangeError

if TYPE_CHECKING:
    from hoisthook.adapter.http.client_connection import ClientConnection

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
COMPLETE_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Server:
    """Answers each request with the next list of pieces, one write per piece.

    The first piece is sent at once, the others after `resume` is set.
    """

    def __init__(self, *answers: list[bytes]) -> None:
        self._answers = list(answers)
        self.resume = asyncio.Event()

    async def start(self) -> tuple[str, int]:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for pieces in self._answers:
            await reader.readuntil(b"\r\n\r\n")
            for number, piece in enumerate(pieces):
                if number:
                    await self.resume.wait()
                writer.write(piece)
                await writer.drain()
        await asyncio.Event().wait()


async def exchange(connection: ClientConnection) -> bytes:
    await connection.send(REQUEST)
    body = b""
    while data := await connection.body.read():
        body += data
    return body


async def test_connection_is_reused_after_a_complete_answer() -> None:
    pool = ClientPool()
    address = await Server([COMPLETE_ANSWER], [COMPLETE_ANSWER]).start()
    connection = await pool.acquire(address, 1.0)
    assert await exchange(connection) == b"ok"
    pool.keep(address, connection)
    assert pool.take_idle(address) is connection
    assert await exchange(connection) == b"ok"
    pool.close()


@pytest.mark.parametrize("surplus", [COMPLETE_ANSWER, b"garbage", b"HTTP/1.1 2"])
async def test_surplus_in_the_same_segment_ends_the_connection(surplus: bytes) -> None:
    address = await Server([COMPLETE_ANSWER + surplus]).start()
    connection = await ClientPool().acquire(address, 1.0)
    assert await exchange(connection) == b"ok"
    assert not connection.reusable


async def test_surplus_while_idle_ends_the_connection() -> None:
    pool = ClientPool()
    server = Server([COMPLETE_ANSWER, COMPLETE_ANSWER.replace(b"ok", b"no")])
    address = await server.start()
    connection = await pool.acquire(address, 1.0)
    await exchange(connection)
    pool.keep(address, connection)
    server.resume.set()
    async with asyncio.timeout(5):
        while not connection.closed:
            await asyncio.sleep(0.001)
    assert pool.take_idle(address) is None


async def test_connection_returned_in_the_middle_of_an_answer_is_closed() -> None:
    pool = ClientPool()
    address = await Server([COMPLETE_ANSWER[:-1]]).start()
    connection = await pool.acquire(address, 1.0)
    await connection.send(REQUEST)
    pool.keep(address, connection)
    assert pool.take_idle(address) is None
    with pytest.raises(BrokenExchangeError):
        while await connection.body.read():
            pass


async def test_connection_that_the_other_side_closes_is_not_reused() -> None:
    """Guards against a request being written into a connection after its end of stream.

    The loop closes such a connection one iteration later, and a request was sent in between.
    """
    pool = ClientPool()
    address = await Server([COMPLETE_ANSWER]).start()
    connection = await pool.acquire(address, 1.0)
    await exchange(connection)
    pool.keep(address, connection)
    connection.eof_received()
    assert pool.take_idle(address) is None


async def test_cancelled_request_ends_when_the_other_side_closes() -> None:
    server = Server([COMPLETE_ANSWER[:-1]])
    connection = await ClientPool().acquire(await server.start(), 1.0)
    await connection.send(REQUEST)
    fully_closed = asyncio.Event()
    connection.close()
    connection.on_fully_closed(fully_closed.set)
    assert connection.closed
    assert not fully_closed.is_set()
    await asyncio.wait_for(fully_closed.wait(), 5)


async def test_cancelled_request_on_a_connection_that_was_reset_ends_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an error from `close` before the loop has noticed the reset."""
    server = Server([COMPLETE_ANSWER[:-1]])
    connection = await ClientPool().acquire(await server.start(), 1.0)
    await connection.send(REQUEST)
    fully_closed = asyncio.Event()
    connection.on_fully_closed(fully_closed.set)

    def not_connected() -> None:
        raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    monkeypatch.setattr(connection._transport, "write_eof", not_connected)
    connection.close()
    assert connection.closed
    await asyncio.wait_for(fully_closed.wait(), 5)


async def test_interim_answer_is_skipped() -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
    address = await Server([interim + COMPLETE_ANSWER]).start()
    connection = await ClientPool().acquire(address, 1.0)
    assert await exchange(connection) == b"ok"
    assert connection.reusable


async def test_surplus_answer_adds_nothing_to_the_head_of_the_first() -> None:
    second = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-other: 1\r\n\r\nno"
    server = Server([COMPLETE_ANSWER + second])
    connection = await ClientPool().open(await server.start(), 1.0)
    head = await connection.send(REQUEST)
    assert head.headers == [(b"content-length", b"2")]
    assert await connection.body.read() == b"ok"
    assert not connection.reusable
    connection.close()


async def test_connection_whose_request_was_answered_early_is_not_reused() -> None:
    async def answer_unread(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n")
        await asyncio.Event().wait()

    server = await asyncio.start_server(answer_unread, "127.0.0.1", 0, limit=1024)
    pool = ClientPool()
    address = server.sockets[0].getsockname()[:2]
    connection = await pool.open(address, 1.0)
    body = bytes(16 * 1024 * 1024)
    head = await connection.send(
        b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body) + body
    )
    assert head.status == 413
    assert not connection.reusable
    pool.keep(address, connection)
    assert pool.take_idle(address) is None
    connection.close()
    server.close()
