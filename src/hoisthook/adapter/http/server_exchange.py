"""One request and its answer on a server connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.adapter.http.message import CONTINUE
from hoisthook.adapter.http.message import LAST_CHUNK
from hoisthook.adapter.http.message import PROCESSING_STATUS
from hoisthook.adapter.http.message import Header
from hoisthook.adapter.http.message import encode_answer_head
from hoisthook.adapter.http.message import encode_chunk

if TYPE_CHECKING:
    from hoisthook.adapter.http.body_stream import BodyStream
    from hoisthook.adapter.http.message import RequestHead
    from hoisthook.adapter.http.server_connection import ServerConnection


class Pace(Protocol):
    """Tells when pieces of an answer may go out."""

    @property
    def piece_bytes(self) -> int:
        """Return the size of a piece."""

    def needs_pacing(self, size: int) -> bool:
        """Return whether an answer of some size goes out in pieces."""

    def sent(self, size: int, now: float) -> None:
        """Note an answer that went out at once."""

    def wait(self, size: int, now: float) -> float:
        """Take the next place for a piece; return the seconds until it may go out."""


class ServerExchange:
    """What a handler reads a request from and writes its answer to.

    Attributes
    ----------
    head : RequestHead
        Method, target and headers.
    body : BodyStream
        The request's body.
    cancel_on_disconnect : bool
        Whether the handler is cancelled when the caller goes away.
    expects_go_ahead : bool
        Whether the caller holds its body back until it is told to go ahead. If it is
        answered before, it ends the body where it is and keeps the connection.
    arrived : float
        When its head was whole, on the loop's clock: before its handler runs where it waits behind
        another request of its connection.
    """

    __slots__ = (
        "_chunked",
        "_connection",
        "_keep_alive",
        "arrived",
        "body",
        "cancel_on_disconnect",
        "ended",
        "expects_go_ahead",
        "head",
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
        self.expects_go_ahead = False
        self.started = False
        self.ended = False
        self.task: asyncio.Task[None] | None = None

    @property
    def peer(self) -> tuple[str, int]:
        """Return the other side's address."""
        return self._connection.peer

    @property
    def gone(self) -> bool:
        """Return whether the other side has dropped the connection."""
        return self._connection.gone

    def go_ahead(self) -> None:
        """Ask for a body that is held back; said once, and nothing if none is."""
        if self.expects_go_ahead:
            self.expects_go_ahead = False
            self._connection.write(CONTINUE)

    def processing(self, headers: list[Header]) -> None:
        """Tell the other side that its request is kept waiting."""
        self._connection.write(encode_answer_head(PROCESSING_STATUS, headers))

    def begin(self, status: int, headers: list[Header], *, chunked: bool) -> bytes:
        """Start the answer; return its head for the first `write`."""
        self.started = True
        self._chunked = chunked
        if chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        body_open = not self.body.complete and not self.expects_go_ahead
        if self._connection.stopping or not self._keep_alive or body_open:
            self._keep_alive = False
            headers.append((b"connection", b"close"))
        return encode_answer_head(status, headers)

    def respond(self, status: int, headers: list[Header], body: bytes = b"") -> None:
        """Send a whole answer at once; ``content-length`` is added here."""
        headers.append((b"content-length", b"%d" % len(body)))
        head = self.begin(status, headers, chunked=False)
        if self.head.method == b"HEAD":
            body = b""
        self._connection.write(head + body)
        self.end()

    async def respond_paced(
        self, status: int, headers: list[Header], body: bytes, pace: Pace
    ) -> None:
        """Send a whole answer, in pieces where the pace of the link asks for it."""
        now = asyncio.get_running_loop().time()
        if not pace.needs_pacing(len(body)):
            pace.sent(len(body), now)
            self.respond(status, headers, body)
            return
        headers.append((b"content-length", b"%d" % len(body)))
        self.write(b"", head=self.begin(status, headers, chunked=False))
        if self.head.method != b"HEAD":
            for start in range(0, len(body), pace.piece_bytes):
                piece = body[start : start + pace.piece_bytes]
                seconds = pace.wait(len(piece), asyncio.get_running_loop().time())
                if seconds > 0:
                    await asyncio.sleep(seconds)
                self.write(piece)
                await self.drain()
        self.end()

    def write(self, data: bytes, *, head: bytes = b"") -> None:
        """Send a piece of the body, preceded by the answer's head if given."""
        if self._chunked and data:
            data = encode_chunk(data)
        self._connection.write(head + data)

    async def drain(self) -> None:
        """Wait until the connection takes more."""
        await self._connection.drain()

    def end(self) -> None:
        """Finish the answer as whole."""
        if self.ended:
            return
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self.ended = True
        self._connection.exchange_ended(self, keep=self._keep_alive)

    def end_with_connection(self) -> None:
        """Finish an answer that states no length by closing the connection."""
        self._keep_alive = False
        self.end()

    def abort(self) -> None:
        """Drop the connection, so that the answer is seen as broken."""
        if self.ended:
            return
        self.ended = True
        self._connection.abort()
        self._connection.exchange_ended(self, keep=False)

    def disconnected(self) -> None:
        """Cancel the handler, unless it asked to go on."""
        if self.cancel_on_disconnect and self.task is not None and not self.ended:
            self.task.cancel()
