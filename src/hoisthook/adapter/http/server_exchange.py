"""One request and its answer on a server connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.adapter.http.message import CONTINUE
from hoisthook.adapter.http.message import LAST_CHUNK
from hoisthook.adapter.http.message import PROCESSING_STATUS
from hoisthook.adapter.http.message import Header
from hoisthook.adapter.http.message import chunk_parts
from hoisthook.adapter.http.message import encode_answer_head

if TYPE_CHECKING:
    from hoisthook.adapter.http.body_stream import BodyStream
    from hoisthook.adapter.http.message import RequestHead
    from hoisthook.adapter.http.server_connection import ServerConnection


class AnswerPacer(Protocol):
    """Schedules the pieces of answers within the capacity of a link."""

    @property
    def piece_bytes(self) -> int:
        """Return the size of a piece, in bytes."""

    def needs_pacing(self, size: int) -> bool:
        """Return whether an answer of ``size`` bytes is sent in pieces."""

    def sent(self, size: int, now: float) -> None:
        """Account for an answer that was sent at once."""

    def wait(self, size: int, now: float) -> float:
        """Reserve the next time slot for a piece; return the seconds until it may be sent."""


class ServerExchange:
    """A request as its handler reads it, and the answer that the handler writes.

    Attributes
    ----------
    head : RequestHead
        Method, target and headers.
    body : BodyStream
        The request's body.
    cancel_on_disconnect : bool
        Whether the handler is cancelled when the caller disconnects.
    expects_continue : bool
        Whether the caller waits for 100 (Continue) before it sends the body. If the final answer
        is sent first, the caller ends the body without sending the rest and keeps the connection.
    held : int
        Bytes of the budget that the request takes.
    arrived : float
        Time at which the head was complete, on the loop's clock. The handler starts later if an
        earlier request of the connection is still being served.
    """

    __slots__ = (
        "_chunked",
        "_connection",
        "_keep_alive",
        "arrived",
        "body",
        "cancel_on_disconnect",
        "ended",
        "expects_continue",
        "head",
        "held",
        "started",
        "task",
    )

    def __init__(
        self, connection: ServerConnection, head: RequestHead, body: BodyStream, keep_alive: bool
    ) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self._chunked = False
        self.arrived = asyncio.get_running_loop().time()
        self.head = head
        self.body = body
        self.cancel_on_disconnect = True
        self.expects_continue = False
        self.held = 0
        self.started = False
        self.ended = False
        self.task: asyncio.Task[None] | None = None

    @property
    def peer(self) -> tuple[str, int]:
        """Return the address of the other side."""
        return self._connection.peer

    @property
    def gone(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._connection.is_closing

    def send_continue(self) -> None:
        """Send 100 (Continue) if the caller still waits for it; otherwise do nothing."""
        if self.expects_continue:
            self.expects_continue = False
            self._connection.write(CONTINUE)

    def processing(self, headers: list[Header]) -> None:
        """Send 102 (Processing): the request is queued and still alive."""
        self._connection.write(encode_answer_head(PROCESSING_STATUS, headers))

    def begin(self, status: int, headers: list[Header], *, chunked: bool) -> bytes:
        """Start the answer and return its encoded head, to be sent with the first `write`."""
        self.started = True
        self._chunked = chunked
        if chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        body_open = not self.body.complete and not self.expects_continue
        if self._connection.stopping or not self._keep_alive or body_open:
            self._keep_alive = False
            headers.append((b"connection", b"close"))
        return encode_answer_head(status, headers)

    def respond(self, status: int, headers: list[Header], body: bytes = b"") -> None:
        """Send a complete answer at once; ``content-length`` is added."""
        headers.append((b"content-length", b"%d" % len(body)))
        head = self.begin(status, headers, chunked=False)
        if self.head.method == b"HEAD":
            body = b""
        self._connection.write(head, body)
        self.end()

    async def respond_paced(
        self, status: int, headers: list[Header], body: bytes, pacer: AnswerPacer
    ) -> None:
        """Send a complete answer, in pieces if the pacer requires it."""
        now = asyncio.get_running_loop().time()
        if not pacer.needs_pacing(len(body)):
            pacer.sent(len(body), now)
            self.respond(status, headers, body)
            return
        headers.append((b"content-length", b"%d" % len(body)))
        self.write(b"", head=self.begin(status, headers, chunked=False))
        if self.head.method != b"HEAD":
            with self._connection.account.holding(len(body)):
                await self._write_paced(body, pacer)
        self.end()

    async def _write_paced(self, body: bytes, pacer: AnswerPacer) -> None:
        for start in range(0, len(body), pacer.piece_bytes):
            piece = body[start : start + pacer.piece_bytes]
            seconds = pacer.wait(len(piece), asyncio.get_running_loop().time())
            if seconds > 0:
                await asyncio.sleep(seconds)
            self.write(piece)
            await self.drain()

    def write(self, data: bytes, *, head: bytes = b"") -> None:
        """Send a piece of the body, preceded by the encoded head if given."""
        self._connection.write(head, *(chunk_parts(data) if self._chunked else (data,)))

    async def drain(self) -> None:
        """Wait until the write buffer of the connection has space."""
        await self._connection.drain()

    def end(self) -> None:
        """Finish the answer as complete."""
        if self.ended:
            return
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self.ended = True
        self._connection.exchange_ended(self, keep=self._keep_alive)

    def end_with_connection(self) -> None:
        """Finish an answer without a stated length by closing the connection."""
        self._keep_alive = False
        self.end()

    def abort(self) -> None:
        """Abort the connection, so that the caller detects an incomplete answer."""
        if self.ended:
            return
        self.ended = True
        self._connection.abort()
        self._connection.exchange_ended(self, keep=False)

    def disconnected(self) -> None:
        """Cancel the handler, unless ``cancel_on_disconnect`` is unset."""
        if self.cancel_on_disconnect and self.task is not None and not self.ended:
            self.task.cancel()
