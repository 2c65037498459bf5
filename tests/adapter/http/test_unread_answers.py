"""A caller that sends requests and does not read the answers holds one answer at most."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.server_connection import MAX_PIPELINED
from tests.waiting import until

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange

MIB = 1024 * 1024
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
# More than the sockets on both sides hold.
ANSWER = b"x" * (16 * MIB)
REQUESTS = 100


class CountingServer:
    """Counts the requests that its handler gets, and answers each at once."""

    def __init__(self, *, idle_timeout: float) -> None:
        self.requests = 0
        self.server = CallServer(("127.0.0.1", 0), self._handle, idle_timeout=idle_timeout)

    async def _handle(self, exchange: ServerExchange) -> None:
        self.requests += 1
        exchange.respond(200, [], ANSWER)


async def connect(server: CallServer, data: bytes) -> socket.socket:
    caller = socket.socket()
    caller.setblocking(False)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, server.address)
    await loop.sock_sendall(caller, data)
    return caller


async def test_next_request_waits_until_the_last_answer_is_taken() -> None:
    """Guards against answers that pile up, each written before the last one was read."""
    counting = CountingServer(idle_timeout=60.0)
    await counting.server.start()
    caller = await connect(counting.server, REQUEST * REQUESTS)
    await until(lambda: counting.requests == 1)
    loop = asyncio.get_running_loop()
    for _ in range(100):
        await asyncio.sleep(0)
    assert counting.requests == 1
    expected = 3 * (len(ANSWER) + 1)
    received = 0
    while received < expected:
        received += len(await loop.sock_recv(caller, MIB))
    assert counting.requests >= 3
    caller.close()
    counting.server.abort()


async def test_caller_that_reads_nothing_is_disconnected_after_the_idle_timeout() -> None:
    """Guards against an answer that a caller makes the node keep as long as it likes."""
    counting = CountingServer(idle_timeout=0.1)
    await counting.server.start()
    caller = await connect(counting.server, REQUEST)
    await until(lambda: counting.requests == 1)
    await until(lambda: not counting.server._connections)
    caller.close()
    counting.server.abort()


async def test_closing_answer_is_sent_to_its_end() -> None:
    counting = CountingServer(idle_timeout=60.0)
    await counting.server.start()
    data = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n" + REQUEST
    caller = await connect(counting.server, data)
    received = b""
    loop = asyncio.get_running_loop()
    while piece := await loop.sock_recv(caller, MIB):
        received += piece
    assert received.endswith(ANSWER)
    assert counting.requests == 1
    caller.close()
    counting.server.abort()


async def test_requests_of_one_piece_of_data_are_not_all_taken_up() -> None:
    """Guards against a connection that queues whatever number of requests it is handed."""
    started: list[ServerExchange] = []

    async def wait(exchange: ServerExchange) -> None:
        started.append(exchange)
        await asyncio.Event().wait()

    server = CallServer(("127.0.0.1", 0), wait)
    await server.start()
    caller = await connect(server, REQUEST * 10_000)
    await until(lambda: bool(started))
    (connection,) = server._connections
    await until(lambda: connection._is_reading_paused)
    assert MAX_PIPELINED < len(connection._queue) < 200
    caller.close()
    server.abort()


async def test_head_that_is_not_read_while_others_are_served_is_not_timed_out() -> None:
    """Guards against a pipelined request that is refused because the node has not read it."""
    may_answer = asyncio.Event()
    served: list[bytes] = []

    async def wait(exchange: ServerExchange) -> None:
        served.append(exchange.head.target)
        await may_answer.wait()
        exchange.respond(200, [])

    server = CallServer(("127.0.0.1", 0), wait, head_timeout=0.05)
    await server.start()
    # A target's length is none of the pieces that are parsed at a time, so one ends within a head.
    targets = [b"/" + b"%0999d" % number for number in range(4 * MAX_PIPELINED)]
    requests = b"".join(REQUEST.replace(b"/", target, 1) for target in targets)
    caller = await connect(server, requests)
    await until(lambda: bool(served))
    (connection,) = server._connections
    await until(lambda: connection._is_reading_paused)
    await asyncio.sleep(4 * server.head_timeout)
    may_answer.set()
    await until(lambda: len(served) == len(targets))
    assert served == targets
    caller.close()
    server.abort()
