"""Time limits of exchanges do not count stalls of this node's own event loop."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.node.call import Lost
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import AnswerHead

TIMEOUT_SECONDS = 0.2
STALL_SECONDS = 3 * TIMEOUT_SECONDS
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def exchange(
    *, answers: bool, stall: float, piece_timeout: float | None
) -> tuple[AnswerHead, bytes] | Lost:
    """Exchange with a server; the loop stalls once the server has the request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if answers:
            writer.write(ANSWER)
        time.sleep(stall)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    connection = await ClientPool().open(server.sockets[0].getsockname()[:2], TIMEOUT_SECONDS)
    try:
        return await exchange_buffered(
            connection,
            b"GET",
            b"/",
            [(b"host", b"x")],
            b"",
            timeout=TIMEOUT_SECONDS,
            piece_timeout=piece_timeout,
        )
    finally:
        connection.close()
        server.close()


async def test_answer_that_arrives_during_a_stall_counts() -> None:
    answer = await exchange(answers=True, stall=STALL_SECONDS, piece_timeout=TIMEOUT_SECONDS)
    assert not isinstance(answer, Lost)
    assert answer[1] == b"ok"


@pytest.mark.parametrize("piece_timeout", [None, TIMEOUT_SECONDS])
@pytest.mark.parametrize("stall", [0.0, STALL_SECONDS])
async def test_silence_is_a_loss(piece_timeout: float | None, stall: float) -> None:
    answer = await exchange(answers=False, stall=stall, piece_timeout=piece_timeout)
    assert answer == Lost(ResultCode.DEADLINE_DURING_RUN)


async def test_deadline_of_a_request_includes_stalls() -> None:
    """Its time is the caller's, whatever has used it up."""
    answer = await exchange(answers=True, stall=STALL_SECONDS, piece_timeout=None)
    assert answer == Lost(ResultCode.DEADLINE_DURING_RUN)


@pytest.mark.parametrize(
    "status_line",
    [b"HTTP/1.1 000 OK", b"HTTP/1.1 600 OK", b"HTTP/0.9 200 OK", b"HTTP/1.1 200 \x01"],
)
async def test_malformed_head_is_no_answer_for_any_reader(status_line: bytes) -> None:
    """Guards against a health check, store or other node whose bytes are taken for an answer."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(status_line + b"\r\ncontent-length: 2\r\n\r\nok")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    connection = await ClientPool().open(server.sockets[0].getsockname()[:2], TIMEOUT_SECONDS)
    outcome = await exchange_buffered(connection, b"GET", b"/", [], b"", timeout=TIMEOUT_SECONDS)
    assert isinstance(outcome, Lost)
    assert outcome.code is ResultCode.ANSWER_SPOILED
    assert connection.closed
    server.close()
