"""One-hop relays built on different libraries, to compare the cost of a hop.

Usage: python -m benchmark.relay KIND PORT TARGET_PORT
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import aiosonic
import uvicorn
from aiosonic.connectors import TCPConnector

from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.http.message import encode_request_head
from hoisthook.adapter.http.message import end_to_end
from hoisthook.adapter.literal_resolver import LiteralResolver

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from hoisthook.adapter.http.server_exchange import ServerExchange

    Send = Callable[[dict[str, Any]], Awaitable[None]]

HOST = "127.0.0.1"
CONNECT_TIMEOUT_SECONDS = 1.0


class BytePipe(asyncio.Protocol):
    """Copies bytes in one direction, as a lower bound for the cost of a hop."""

    def __init__(self, peer: BytePipe | None = None) -> None:
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self._unsent: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and send the data that arrived before it was connected."""
        self.transport = transport  # type: ignore[assignment]
        for data in self._unsent:
            self.write(data)

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the peer."""
        if self.peer is not None:
            self.peer.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection of the peer."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes, or hold them until the connection is made."""
        if self.transport is None:
            self._unsent.append(data)
        else:
            self.transport.write(data)


async def serve_bytes(port: int, target: int) -> None:
    """Relay bytes between connections until cancelled."""
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[Any]] = set()

    def accept() -> BytePipe:
        backend_side = BytePipe()
        caller_side = BytePipe(backend_side)
        backend_side.peer = caller_side
        task = loop.create_task(loop.create_connection(lambda: backend_side, HOST, target))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return caller_side

    server = await loop.create_server(accept, HOST, port)
    await server.serve_forever()


async def serve_own(port: int, target: int) -> None:
    """Relay through hoisthook's HTTP server and client pool."""
    pool = ClientPool()

    async def handle(exchange: ServerExchange) -> None:
        connection = await pool.acquire((HOST, target), CONNECT_TIMEOUT_SECONDS)
        head = exchange.head
        request = encode_request_head(head.method, head.target, end_to_end(head.headers))
        answer = await connection.send(request)
        body = b""
        while data := await connection.body.read():
            body += data
        pool.keep((HOST, target), connection)
        headers = [h for h in end_to_end(answer.headers) if h[0] != b"content-length"]
        exchange.respond(answer.status, headers, body)

    server = CallServer((HOST, port), handle)
    await server.start()
    await asyncio.Event().wait()


def asgi_app(fetch: Callable[[str, dict[str, str]], Awaitable[tuple[int, bytes]]]) -> Any:
    """Return a minimal ASGI application that forwards requests with ``fetch``."""

    async def app(scope: dict[str, Any], receive: Any, send: Send) -> None:
        headers = {n.decode(): v.decode() for n, v in scope["headers"] if n != b"host"}
        status, body = await fetch(scope["path"], headers)
        framed = [(b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": framed})
        await send({"type": "http.response.body", "body": body})

    return app


async def serve_uvicorn(app: Any, port: int) -> None:
    """Serve an ASGI application with uvicorn and httptools."""
    config = uvicorn.Config(
        app,
        host=HOST,
        port=port,
        loop="asyncio",
        http="httptools",
        lifespan="off",
        log_level="critical",
        access_log=False,
    )
    await uvicorn.Server(config).serve()


async def serve_aiohttp(port: int, target: int) -> None:
    """Relay with uvicorn and the client of aiohttp."""
    async with aiohttp.ClientSession() as session:

        async def fetch(path: str, headers: dict[str, str]) -> tuple[int, bytes]:
            url = f"http://{HOST}:{target}{path}"
            async with session.get(url, headers=headers) as answer:
                return answer.status, await answer.read()

        await serve_uvicorn(asgi_app(fetch), port)


async def serve_aiosonic(port: int, target: int) -> None:
    """Relay with uvicorn and the client of aiosonic."""
    client = aiosonic.HTTPClient(TCPConnector(resolver=LiteralResolver()))

    async def fetch(path: str, headers: dict[str, str]) -> tuple[int, bytes]:
        answer = await client.get(f"http://{HOST}:{target}{path}", headers=headers)
        return answer.status_code, await answer.content()

    await serve_uvicorn(asgi_app(fetch), port)


SERVE_BY_KIND = {
    "bytes": serve_bytes,
    "own": serve_own,
    "aiohttp": serve_aiohttp,
    "aiosonic": serve_aiosonic,
}


def main() -> None:
    """Run the relay of the kind and ports given on the command line."""
    kind, port, target = sys.argv[1:]
    asyncio.run(SERVE_BY_KIND[kind](int(port), int(target)))


if __name__ == "__main__":
    main()
