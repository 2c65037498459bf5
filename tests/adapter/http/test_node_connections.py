"""Whether a connection to a node is used depends on what answers there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.http.node_connections import IdentityError
from hoisthook.adapter.http.node_connections import NodeConnections
from hoisthook.adapter.http.node_connections import answer_identity
from hoisthook.exceptions import UnreachableError
from hoisthook.identity import Incarnation
from hoisthook.node.older_nodes import OlderKeyedNodes
from tests.node.loopback_listener import LoopbackListener

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator

    from hoisthook.adapter.http.server_exchange import ServerExchange

TIMEOUT_SECONDS = 0.05
LOOPBACK = ("127.0.0.1", 0)

ANSWERS_OF_OTHERS = [
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi",
    b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nhoisthook-identity: n2\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 503 X\r\nhoisthook-result: 2008 INCARNATION_MISMATCH\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 400 X\r\nhoisthook-result: 1001 SERVICE_UNNAMED\r\ncontent-length: 0\r\n\r\n",
]
UNUSABLE_ANSWERS = [
    b"SSH-2.0-x\r\n",
    b"HTTP/1.1 200 OK\r\nhoisthook-identity: n1\r\ncontent-length: 9\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nhoisthook-identity: n1\r\nconnection: close\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"",
]


class Listener(LoopbackListener):
    """Sends the same bytes after each request, and then nothing."""

    def __init__(self, answer: bytes) -> None:
        super().__init__()
        self.answer = answer
        self.heads: list[bytes] = []

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.answer)


@pytest.fixture
async def pool() -> AsyncIterator[ClientPool]:
    pool = ClientPool()
    yield pool
    pool.close()


def connections(pool: ClientPool) -> NodeConnections:
    return NodeConnections(pool, OlderKeyedNodes(Incarnation("asker")))


async def started_listener(answer: bytes) -> Listener:
    listener = Listener(answer)
    await listener.start()
    return listener


@pytest.mark.parametrize("answer", ANSWERS_OF_OTHERS)
async def test_other_program_is_told_from_the_node(pool: ClientPool, answer: bytes) -> None:
    listener = await started_listener(answer)
    with pytest.raises(IdentityError):
        await connections(pool).acquire(listener.address, "n1", 5.0)
    assert pool.take_idle(listener.address) is None
    listener.close()


@pytest.mark.parametrize("answer", UNUSABLE_ANSWERS)
async def test_what_does_not_answer_properly_is_given_up_in_time(
    pool: ClientPool, answer: bytes
) -> None:
    listener = await started_listener(answer)
    with pytest.raises(UnreachableError):
        await connections(pool).acquire(listener.address, "n1", TIMEOUT_SECONDS)
    listener.close()


async def test_port_without_a_listener_is_unreachable(pool: ClientPool) -> None:
    listener = await started_listener(b"")
    listener.close()
    with pytest.raises(UnreachableError):
        await connections(pool).acquire(listener.address, "n1", 5.0)


async def test_identified_connection_is_reused_without_a_question(pool: ClientPool) -> None:
    questions = 0

    async def handle(exchange: ServerExchange) -> None:
        nonlocal questions
        questions += 1
        answer_identity(exchange, "n1")

    server = CallServer(LOOPBACK, handle)
    await server.start()
    first = await connections(pool).acquire(server.address, "n1", 5.0)
    pool.keep(server.address, first)
    assert await connections(pool).acquire(server.address, "n1", 5.0) is first
    assert (questions, pool.opened) == (1, 1)
    first.close()
    await server.close(1.0)


@pytest.mark.parametrize("identity", [None, "n0"])
async def test_pooled_connection_of_another_process_is_not_used(
    pool: ClientPool, identity: str | None
) -> None:
    async def handle(exchange: ServerExchange) -> None:
        answer_identity(exchange, "n1")

    server = CallServer(LOOPBACK, handle)
    await server.start()
    stale = await pool.open(server.address, 5.0)
    stale.identity = identity
    pool.keep(server.address, stale)
    connection = await connections(pool).acquire(server.address, "n1", 5.0)
    assert connection is not stale
    assert stale.closed
    connection.close()
    await server.close(1.0)


async def test_older_node_with_the_incarnation_is_accepted(pool: ClientPool) -> None:
    answer = b"HTTP/1.1 503 X\r\nhoisthook-result: 2014 CONFIGURATION_MISSING\r\n"
    listener = await started_listener(answer + b"content-length: 0\r\n\r\n")
    connection = await connections(pool).acquire(listener.address, "n1", 5.0)
    assert b"hoisthook-attempt: asker 0 n1 2" in listener.heads[0]
    connection.close()
    listener.close()
