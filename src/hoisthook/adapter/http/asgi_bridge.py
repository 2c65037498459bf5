"""Serves the exchanges of a `CallServer` with an ASGI application."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from hoisthook.exceptions import BrokenExchangeError

if TYPE_CHECKING:
    from starlette.types import ASGIApp

    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.server_exchange import ServerExchange

MAX_BODY_BYTES = 4 * 1024 * 1024
TOO_LARGE_STATUS = 413


async def serve_asgi(app: ASGIApp, exchange: ServerExchange) -> None:
    """Serve one exchange with ``app``; its body is first buffered, up to `MAX_BODY_BYTES`."""
    body = b""
    try:
        while data := await exchange.body.read():
            body += data
            if len(body) > MAX_BODY_BYTES:
                exchange.respond(TOO_LARGE_STATUS, [])
                return
    except BrokenExchangeError:
        exchange.abort()
        return
    answer = _BufferedAnswer(exchange)
    delivered = False

    async def receive() -> dict[str, Any]:
        nonlocal delivered
        if delivered:
            return {"type": "http.disconnect"}
        delivered = True
        return {"type": "http.request", "body": body, "more_body": False}

    await app(_scope(exchange), receive, answer.send)  # type: ignore[arg-type]


def _scope(exchange: ServerExchange) -> dict[str, Any]:
    path, _, query = exchange.head.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": exchange.head.method.decode("latin-1"),
        "scheme": "http",
        "path": path.decode("latin-1"),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": exchange.head.headers,
        "client": exchange.peer,
        "server": None,
    }


class _BufferedAnswer:
    """Buffers an application's answer and sends it when it is complete."""

    def __init__(self, exchange: ServerExchange) -> None:
        self._exchange = exchange
        self._status = 500
        self._headers: list[Header] = []
        self._body = b""

    async def send(self, message: dict[str, Any]) -> None:
        """Process one ASGI message (ASGI callback)."""
        if message["type"] == "http.response.start":
            self._status = message["status"]
            headers = message.get("headers", [])
            self._headers = [(n, v) for n, v in headers if n.lower() != b"content-length"]
            return
        self._body += message.get("body", b"")
        if not message.get("more_body", False):
            self._exchange.respond(self._status, self._headers, self._body)
