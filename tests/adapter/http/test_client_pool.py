from __future__ import annotations

import asyncio
import socket
import time

import pytest

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.exceptions import UnreachableError

TIMEOUT_SECONDS = 0.1


async def test_stall_of_the_loop_does_not_make_a_peer_unreachable() -> None:
    """Guards against result code 2012 for a connection that opened during a stall of the loop."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    pool = ClientPool()
    asyncio.get_running_loop().call_soon(
        asyncio.get_running_loop().call_soon, time.sleep, 2 * TIMEOUT_SECONDS
    )
    connection = await pool.open(server.sockets[0].getsockname()[:2], TIMEOUT_SECONDS)
    assert connection.is_open
    connection.close()
    server.close()


async def test_address_that_does_not_answer_is_unreachable() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()[:2]
        clients = [socket.socket() for _ in range(3)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex(address)
        with pytest.raises(UnreachableError):
            await ClientPool().open(address, TIMEOUT_SECONDS)
        for client in clients:
            client.close()
