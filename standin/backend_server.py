"""A stand-in for a backend server, as a process of its own.

Usage: python -m standin.backend_server --port PORT --id ID --service NAME
       --slots N --announce HOST:PORT [--work-ms MS]

Each request holds a slot for its service time; further requests wait for one.
``GET /_load`` reports the load, ``GET /_runs`` lists the executed requests,
``POST /_behave`` changes the behaviour: ``work_ms`` (mean service time), ``slow``
(factor of it), ``fail`` (status 500 at once), ``draining``, ``cut_body`` (abort
during the response), ``shed`` (reject all requests), ``announce``.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import msgspec
import uvicorn

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Scope = dict[str, Any]
    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

ANNOUNCE_SECONDS = 0.5


class Behaviour(msgspec.Struct):
    """Current behaviour of the backend server.

    Attributes
    ----------
    work_ms : float
        Mean service time in milliseconds.
    spread : float
        Largest deviation from the mean, as a share of it.
    slow : float
        Factor of the service time.
    """

    work_ms: float = 5.0
    spread: float = 0.3
    slow: float = 1.0
    fail: bool = False
    draining: bool = False
    cut_body: bool = False
    shed: bool = False
    announce: bool = True


class BackendServerStandin:
    """ASGI application that executes requests in slots and records which."""

    def __init__(self, backend_server: str, service: str, address: str, slots: int) -> None:
        self.id = backend_server
        self.service = service
        self.address = address
        self.slots = slots
        self.behaviour = Behaviour()
        self.active = 0
        self.loads_read = 0
        self.runs: list[str] = []
        self._started = time.monotonic()
        self._slots = asyncio.Semaphore(slots)
        self._random = random.Random(backend_server)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI request."""
        if scope["type"] != "http":
            return
        body = b""
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        path = scope["path"]
        if path == "/_load":
            self.loads_read += 1
            await self._send(send, 200, self._json({"active": self.active, "healthy": True}))
        elif path == "/_runs":
            await self._send(send, 200, self._json({"runs": self.runs, "loads": self.loads_read}))
        elif path == "/_behave":
            old = msgspec.structs.asdict(self.behaviour)
            self.behaviour = msgspec.convert(old | msgspec.json.decode(body), Behaviour)
            await self._send(send, 200, b"{}")
        else:
            await self._work(scope, body, receive, send)

    def announcement(self) -> dict[str, Any]:
        """Return the announcement to the server's own node."""
        return {
            "backend_server": self.id,
            "service": self.service,
            "address": self.address,
            "slots": self.slots,
            "draining": self.behaviour.draining,
            "load_path": "/_load",
            "uptime_ms": int((time.monotonic() - self._started) * 1000),
        }

    async def _work(self, scope: Scope, body: bytes, receive: Receive, send: Send) -> None:
        behaviour = self.behaviour
        headers = dict(scope["headers"])
        name = headers.get(b"x-run", b"").decode() or f"{scope['method']} {scope['path']}"
        if behaviour.shed:
            await self._send(send, 503, b"shed", [(b"hoisthook-shed", b"1")])
            return
        if behaviour.fail:
            self.runs.append(name)
            await self._send(send, 500, b"failed")
            return
        disconnected = asyncio.ensure_future(receive())
        self.active += 1
        try:
            async with self._slots:
                if disconnected.done():
                    return
                self.runs.append(name)
                await asyncio.wait([disconnected], timeout=self._seconds(headers))
                if disconnected.done():
                    return
            if behaviour.cut_body:
                await send({"type": "http.response.start", "status": 200, "headers": []})
                await send({"type": "http.response.body", "body": b"half", "more_body": True})
                raise ConnectionAbortedError("response cut off by the injected fault")
            answer = self._json({"by": self.id, "run": name, "echo": body.decode("latin-1")})
            await self._send(send, 200, answer)
        finally:
            self.active -= 1
            disconnected.cancel()

    def _seconds(self, headers: dict[bytes, bytes]) -> float:
        mean_ms = float(headers.get(b"x-work-ms", b"") or self.behaviour.work_ms)
        spread = self.behaviour.spread
        drawn_ms = mean_ms * (1.0 - spread + 2.0 * spread * self._random.random())
        # The factor applies to requests that start from now on, as with a noisy neighbour.
        return drawn_ms * self.behaviour.slow / 1000.0

    async def _send(
        self,
        send: Send,
        status: int,
        body: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        framed = [
            (b"content-length", str(len(body)).encode()),
            (b"content-type", b"application/json"),
            *(headers or []),
        ]
        await send({"type": "http.response.start", "status": status, "headers": framed})
        await send({"type": "http.response.body", "body": body})

    def _json(self, value: object) -> bytes:
        return msgspec.json.encode(value)


async def announce_forever(server: BackendServerStandin, node: str) -> None:
    """Announce the backend server to its node until cancelled."""
    url = f"http://{node}/hoisthook/v1/announce"
    async with aiohttp.ClientSession() as session:
        while True:
            if server.behaviour.announce:
                try:
                    async with session.post(url, data=msgspec.json.encode(server.announcement())):
                        pass
                except (aiohttp.ClientError, OSError):
                    pass
            await asyncio.sleep(ANNOUNCE_SECONDS)


async def serve(server: BackendServerStandin, port: int, node: str) -> None:
    """Serve requests and announce the backend server until a signal stops it."""
    config = uvicorn.Config(
        server,
        host="127.0.0.1",
        port=port,
        loop="asyncio",
        http="httptools",
        lifespan="off",
        log_level="critical",
        access_log=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=1,
    )
    announcing = asyncio.ensure_future(announce_forever(server, node))
    try:
        await uvicorn.Server(config).serve()
    finally:
        announcing.cancel()


def main() -> None:
    """Run the backend server."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--announce", required=True)
    parser.add_argument("--work-ms", type=float, default=5.0)
    arguments = parser.parse_args()
    server = BackendServerStandin(
        arguments.id, arguments.service, f"127.0.0.1:{arguments.port}", arguments.slots
    )
    server.behaviour.work_ms = arguments.work_ms
    asyncio.run(serve(server, arguments.port, arguments.announce))


if __name__ == "__main__":
    main()
