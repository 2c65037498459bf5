"""One server connection: requests in order, one handler at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

import httptools

from hoisthook.adapter.http.body_stream import BodyStream
from hoisthook.adapter.http.flow_control import FlowControl
from hoisthook.adapter.http.message import Header
from hoisthook.adapter.http.message import RequestHead
from hoisthook.adapter.http.server_exchange import ServerExchange
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Handler = Callable[[ServerExchange], Awaitable[None]]

MAX_PIPELINED = 8


class ServerOwner(Protocol):
    """What a connection needs of its server."""

    handler: Handler
    stopping: bool
    continues_at_once: bool
    head_timeout: float
    idle_timeout: float
    max_head_bytes: int

    def opened(self, connection: ServerConnection) -> None:
        """Count the connection in."""

    def closed(self, connection: ServerConnection) -> None:
        """Count the connection out."""

    def began(self) -> None:
        """Count a request in whose handler runs."""

    def ended(self) -> None:
        """Count it out; its caller may have gone before."""

    def bad_request(self, code: ResultCode) -> bytes:
        """Return the whole answer to a request that cannot be parsed."""


class ServerConnection(FlowControl):
    """Parses requests and runs the owner's handler for each, in order."""

    def __init__(self, owner: ServerOwner) -> None:
        super().__init__()
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._queue: deque[ServerExchange] = deque()
        self._incoming: ServerExchange | None = None
        self._target = b""
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._expects_continue = False
        self._timer: asyncio.TimerHandle | None = None
        self._refused: ResultCode | None = None
        self.peer: tuple[str, int] = ("", 0)
        self.lost = False

    @property
    def is_open(self) -> bool:
        """Return whether the transport can still be used."""
        return not self.lost

    @property
    def gone(self) -> bool:
        """Return whether the other side has ended the connection."""
        return self.lost or (self._transport is not None and self._transport.is_closing())

    @property
    def busy(self) -> bool:
        """Return whether a request is being served or read."""
        return bool(self._queue) or self._incoming is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and wait for the first head."""
        self._transport = cast("asyncio.Transport", transport)
        self.peer = transport.get_extra_info("peername") or ("", 0)
        self._owner.opened(self)
        # The first head is awaited from here on, so a silent connection is closed by its timeout.
        self._timer = self._loop.call_later(self._owner.head_timeout, self._idle_over)

    def data_received(self, data: bytes) -> None:
        """Parse request bytes."""
        if self._refused is not None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(ResultCode.REQUEST_MALFORMED)
        except httptools.HttpParserError:
            self._refuse(self._refused or ResultCode.REQUEST_MALFORMED)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the running handler that its caller is gone."""
        self.lost = True
        self._disarm_timer()
        if self._incoming is not None:
            self._incoming.body.fail("caller's connection dropped")
        self.release_writer()
        if self._queue:
            self._queue[0].disconnected()
        self._owner.closed(self)

    def on_message_begin(self) -> None:
        """Start collecting a head (parser callback)."""
        self._disarm_timer()
        self._timer = self._loop.call_later(self._owner.head_timeout, self._head_late)
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the target (parser callback)."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (parser callback)."""
        self._count_head(len(name) + len(value))
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the exchange (parser callback)."""
        self._disarm_timer()
        head = RequestHead(self._parser.get_method(), self._target, self._headers)
        # The parser tells of a body's trailer like of a header: kept with the head, it would let a
        # caller add to what was checked.
        self._headers = []
        exchange = ServerExchange(self, head, BodyStream(self), self._parser.should_keep_alive())
        if self._expects_continue:
            exchange.expects_go_ahead = True
            if self._owner.continues_at_once:
                exchange.go_ahead()
        self._incoming = exchange
        self._queue.append(exchange)
        if len(self._queue) == 1:
            self._start_next()
        elif len(self._queue) > MAX_PIPELINED:
            self.pause_body()

    def on_body(self, data: bytes) -> None:
        """Hand over a piece of the body (parser callback)."""
        if self._incoming is not None:
            self._incoming.body.feed(data)

    def on_message_complete(self) -> None:
        """Note the end of the request (parser callback)."""
        if self._incoming is not None:
            self._incoming.body.finish()
            self._incoming = None

    def leave(self) -> None:
        """Close now if idle; otherwise after the exchange in progress."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection, so that the caller sees a broken answer."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def stopping(self) -> bool:
        """Return whether the server takes no further requests."""
        return self._owner.stopping

    def exchange_ended(self, exchange: ServerExchange, *, keep: bool) -> None:
        """Go on to the next request, or close."""
        if self._queue and self._queue[0] is exchange:
            self._queue.popleft()
        # A body that was held back ends without having been sent, see `ServerExchange`.
        body_open = not exchange.body.complete and not exchange.expects_go_ahead
        if not keep or body_open or self._owner.stopping:
            if self._transport is not None:
                self._transport.close()
            return
        if len(self._queue) == MAX_PIPELINED:
            self.resume_body()
        if self._queue:
            self._start_next()
        elif self._refused is not None:
            self._answer_refusal(self._refused)
        elif self._timer is None:
            self._arm_idle_timer()

    def _start_next(self) -> None:
        if self._queue and not self.lost:
            exchange = self._queue[0]
            exchange.task = self._loop.create_task(self._serve(exchange))

    async def _serve(self, exchange: ServerExchange) -> None:
        self._owner.began()
        try:
            await self._owner.handler(exchange)
        except asyncio.CancelledError:
            exchange.abort()
        except Exception:
            exchange.abort()
            raise
        finally:
            self._owner.ended()
            if not exchange.ended:
                exchange.abort()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._owner.max_head_bytes:
            self._refused = ResultCode.REQUEST_TOO_LARGE
            raise ValueError("request head too large")

    def _refuse(self, code: ResultCode) -> None:
        self._refused = code
        self._disarm_timer()
        if self._incoming is not None:
            self._incoming.body.fail("request body malformed")
            self._incoming = None
            return
        if not self._queue:
            self._answer_refusal(code)

    def _answer_refusal(self, code: ResultCode) -> None:
        self.write(self._owner.bad_request(code))
        if self._transport is not None:
            self._transport.close()

    def _arm_idle_timer(self) -> None:
        self._timer = self._loop.call_later(self._owner.idle_timeout, self._idle_over)

    def _disarm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _head_late(self) -> None:
        self._timer = None
        if not self.busy:
            self._refuse(ResultCode.REQUEST_TIMEOUT)
        elif self._transport is not None and self._incoming is None:
            # A later request has begun behind one that still runs and will be refused after it.
            self._refused = ResultCode.REQUEST_TIMEOUT

    def _idle_over(self) -> None:
        self._timer = None
        if not self.busy and self._transport is not None:
            self._transport.close()
