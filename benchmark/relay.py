"""One-hop relays made of different libraries, to compare the cost of a hop.

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
CONNECT_SECONDS = 1.0


class BytePipe(asyncio.Protocol):
    """Copies bytes one way; the least that any hop can cost."""

    def __init__(self, peer: BytePipe | None = None) -> None:
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and send what came too early."""
        self.transport = transport  # type: ignore[assignment]
        for data in self._early:
            self.write(data)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        if self.peer is not None:
            self.peer.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side too."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes, once connected."""
        if self.transport is None:
            self._early.append(data)
        else:
            self.transport.write(data)


async def serve_bytes(port: int, target: int) -> None:
    """Relay bytes forever."""
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[Any]] = set()

    def accept() -> BytePipe:
        inner = BytePipe()
        outer = BytePipe(inner)
        inner.peer = outer
        task = loop.create_task(loop.create_connection(lambda: inner, HOST, target))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return outer

    server = await loop.create_server(accept, HOST, port)
    await server.serve_forever()


async def serve_own(port: int, target: int) -> None:
    """Relay by hoisthook's server and client connections."""
    pool = ClientPool()

    async def handle(exchange: ServerExchange) -> None:
        connection = await pool.acquire((HOST, target), CONNECT_SECONDS)
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
    """Return a bare ASGI application that forwards by ``fetch``."""

    async def app(scope: dict[str, Any], receive: Any, send: Send) -> None:
        headers = {n.decode(): v.decode() for n, v in scope["headers"] if n != b"host"}
        status, body = await fetch(scope["path"], headers)
        framed = [(b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": framed})
        await send({"type": "http.response.body", "body": body})

    return app


async def serve_uvicorn(app: Any, port: int) -> None:
    """Serve an ASGI application by uvicorn on httptools."""
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
    """Relay by uvicorn and aiohttp's client."""
    async with aiohttp.ClientSession() as session:

        async def fetch(path: str, headers: dict[str, str]) -> tuple[int, bytes]:
            url = f"http://{HOST}:{target}{path}"
            async with session.get(url, headers=headers) as answer:
                return answer.status, await answer.read()

        await serve_uvicorn(asgi_app(fetch), port)


async def serve_aiosonic(port: int, target: int) -> None:
    """Relay by uvicorn and aiosonic's client."""
    client = aiosonic.HTTPClient(TCPConnector(resolver=LiteralResolver()))

    async def fetch(path: str, headers: dict[str, str]) -> tuple[int, bytes]:
        answer = await client.get(f"http://{HOST}:{target}{path}", headers=headers)
        return answer.status_code, await answer.content()

    await serve_uvicorn(asgi_app(fetch), port)


KINDS = {
    "bytes": serve_bytes,
    "own": serve_own,
    "aiohttp": serve_aiohttp,
    "aiosonic": serve_aiosonic,
}


def main() -> None:
    """Run one relay."""
    kind, port, target = sys.argv[1:]
    asyncio.run(KINDS[kind](int(port), int(target)))


if __name__ == "__main__":
    main()
