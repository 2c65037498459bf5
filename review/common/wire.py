"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

LIMIT = 1 << 20
PIECE = 1 << 18
HOST = "127.0.0.1"


class ClosedError(Exception):
    """The connection ended before the message was complete."""


@dataclass
class Message:
    """A request or a response.

    Attributes
    ----------
    first : str
        The first line.
    headers : dict
        Headers by their lower-case names.
    body : bytes
        The complete body.
    size : int
        Number of bytes of the body, also where it was not kept.
    """

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    size: int = 0

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, *, keep_body: bool = True) -> Message | None:
    """Read one message; None if the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ClosedError("within a head") from error
    except ConnectionError as error:
        raise ClosedError(repr(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    try:
        await _read_body(reader, message, keep_body=keep_body)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise ClosedError("within a body") from error
    return message


async def _read_body(reader: asyncio.StreamReader, message: Message, *, keep_body: bool) -> None:
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size)
            await reader.readexactly(2)
            message.size += size
            if not size:
                return
            if keep_body:
                message.body += piece
    left = int(message.headers.get("content-length", "0"))
    while left:
        piece = await reader.readexactly(min(left, PIECE))
        left -= len(piece)
        message.size += len(piece)
        if keep_body:
            message.body += piece


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request; a body has a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    lines += ["", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Serves one request at a time on each connection.

    Parameters
    ----------
    handler : callable
        Awaited with each request and the writer of its connection; returns the response's bytes,
        or None to close the connection.
    keep_body : bool
        Whether bodies are kept, or only counted.
    """

    def __init__(
        self,
        handler: Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]],
        *,
        keep_body: bool = True,
    ) -> None:
        self._handler = handler
        self._keep_body = keep_body
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int, host: str = HOST) -> None:
        """Listen on a port."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=LIMIT)

    def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                message = await read_message(reader, keep_body=self._keep_body)
                if message is None:
                    return
                response = await self._handler(message, writer)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (ClosedError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()


class Connection:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port: int, timeout: float = 1.0, host: str = HOST) -> Connection:
        """Open a connection within a time."""
        async with asyncio.timeout(timeout):
            return cls(*await asyncio.open_connection(host, port, limit=LIMIT))

    async def call(self, data: bytes) -> Message:
        """Send a request and return the response."""
        try:
            self.writer.write(data)
            await self.writer.drain()
        except ConnectionError as error:
            raise ClosedError(repr(error)) from error
        while True:
            message = await read_message(self.reader)
            if message is None:
                raise ClosedError("no response")
            if message.status >= 200:
                return message

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(Exception):
            self.writer.close()


async def call_once(
    port: int, data: bytes, timeout: float, *, connect_timeout: float = 1.0
) -> Message | None:
    """Send a request on a new connection; None if no response comes in time."""
    connection: Connection | None = None
    try:
        async with asyncio.timeout(timeout):
            connection = await Connection.open(port, connect_timeout)
            return await connection.call(data)
    except (OSError, ClosedError, TimeoutError):
        return None
    finally:
        if connection is not None:
            connection.close()
