"""A client of the platform: one request on a new connection."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from review.second.http_message import encode
from review.second.http_message import read_message

if TYPE_CHECKING:
    from review.second.record import Record

_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client got for a request; status 0 if the connection ended without an answer."""

    request_id: str
    status: int
    signature: str
    body: bytes


async def send(
    outbound: str,
    host: str,
    path: str,
    record: Record,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 1000,
) -> Answer:
    """Send a request to a node and return the answer."""
    request_id = f"q{next(_numbers):05d}"
    record.line(f"{request_id} {method} {host}{path} is sent to {outbound}")
    node, _, port = outbound.rpartition(":")
    try:
        async with asyncio.timeout(deadline_ms / 1000.0):
            reader, writer = await asyncio.open_connection(node, int(port))
            try:
                headers = {
                    "Host": host,
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": str(deadline_ms),
                    "Connection": "close",
                }
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                message = await read_message(reader)
            finally:
                writer.transport.abort()
    except (OSError, EOFError, TimeoutError) as error:
        record.line(f"{request_id} has no answer: {type(error).__name__}")
        return Answer(request_id, 0, "", b"")
    signature = message.headers.get("x-response-signature", "")
    own = "" if signature else " " + message.body[:60].decode("latin-1").strip()
    record.line(f"{request_id} is answered {message.status}, signature {signature or 'none'}{own}")
    return Answer(request_id, message.status, signature, message.body)
