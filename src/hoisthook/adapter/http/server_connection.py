"""HTTP server connection: requests are served in order, one at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

from hoisthook.adapter.http.body_stream import BodyStream
from hoisthook.adapter.http.byte_budget import Grant
from hoisthook.adapter.http.connection_account import ConnectionAccount
from hoisthook.adapter.http.flow_control import FlowControl
from hoisthook.adapter.http.request_parser import RequestParser
from hoisthook.adapter.http.server_exchange import ServerExchange
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import MemoryFullError
from hoisthook.exceptions import RequestError
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from hoisthook.adapter.http.byte_budget import ByteBudget
    from hoisthook.adapter.http.message import RequestHead

    Handler = Callable[[ServerExchange], Awaitable[None]]

MAX_PIPELINED = 8
# Bytes that are parsed before the number of requests in them is checked.
MAX_UNCHECKED_BYTES = 4 * 1024
# Bytes after a malformed request that are read and dropped while an earlier one is being served,
# since only reading shows that the caller has disconnected.
MAX_DISCARDED_BYTES = 64 * 1024


class ConnectionServer(Protocol):
    """Interface of the server that a connection belongs to."""

    handler: Handler
    budget: ByteBudget
    stopping: bool
    auto_continue: bool
    head_timeout: float
    idle_timeout: float
    max_head_bytes: int
    receive_buffer: memoryview

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register a connection."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove a connection."""

    def handler_started(self) -> None:
        """Count a running handler."""

    def handler_ended(self) -> None:
        """Count a handler that has ended, possibly after its connection was closed."""

    def bad_request(self, code: ResultCode) -> bytes:
        """Return the encoded answer to a request that cannot be parsed."""


class ServerConnection(FlowControl, asyncio.BufferedProtocol):
    """Parses requests and runs the handler of its server for each of them, in order.

    What it holds is counted in the budget of its server: requests from their first byte until
    their exchange ends, and answers until the caller has taken them.

    Attributes
    ----------
    account : ConnectionAccount
        What it holds of the memory of the node.
    is_used : bool
        Whether a request has been answered.
    """

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__()
        self._server = server
        self.account = ConnectionAccount(self, server.budget)
        self.is_used = False
        self._parser = RequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._queue: deque[ServerExchange] = deque()
        self._incoming: ServerExchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._rejection: ResultCode | None = None
        self._discarded_bytes = 0
        self._unparsed = b""
        # Received while the budget was full.
        self._uncounted = b""
        self._counting: asyncio.Handle | None = None
        self._is_reading_paused = False
        # The next request waits until the caller has taken the last answer.
        self._awaits_flush = False
        self._is_closing_after_flush = False
        self._unsent_timer: asyncio.TimerHandle | None = None
        self.peer: tuple[str, int] = ("", 0)
        self.closed = False

    @property
    def is_open(self) -> bool:
        """Return whether the transport can still be used."""
        return not self.closed

    @property
    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing."""
        if self.closed or self._is_closing_after_flush:
            return True
        return self._transport is not None and self._transport.is_closing()

    @property
    def busy(self) -> bool:
        """Return whether a request is being received or served, or its answer sent."""
        return bool(self._queue) or self._incoming is not None or self.has_unsent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and wait for the first head (asyncio callback)."""
        self._transport = cast("asyncio.Transport", transport)
        # Writing is paused while the caller leaves anything unread that the socket does not hold.
        self._transport.set_write_buffer_limits(high=0)
        self.peer = transport.get_extra_info("peername") or ("", 0)
        if self.account.open() is Grant.REFUSED:
            self.abort()
        self._server.connection_opened(self)
        # The timeout for the first head starts now, so a connection without data is closed.
        self._timer = self._loop.call_later(self._server.head_timeout, self._on_idle_timeout)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into (asyncio callback)."""
        return self._server.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process bytes that were read into the buffer (asyncio callback)."""
        self.data_received(bytes(self._server.receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse request bytes."""
        if self._is_closing_after_flush:
            return
        if self._rejection is not None:
            self._discard(len(data))
            return
        self._uncounted += data
        self._count_received()

    def _count_received(self) -> None:
        """Count and parse what was received once the budget has bytes for it."""
        grant = self.account.receive(len(self._uncounted))
        if grant is Grant.REFUSED:
            self.release_memory()
        elif grant is Grant.GIVEN:
            self._unparsed += self._uncounted
            self._uncounted = b""
            self._parse_unparsed()
        elif self._counting is None:
            self._counting = self._loop.call_soon(self._count_later)
        self._update_reading()

    def _count_later(self) -> None:
        self._counting = None
        if self._uncounted:
            self._count_received()

    @property
    def is_releasable(self) -> bool:
        """Return whether it holds a request that is not complete or waits, or an unsent answer."""
        if self._queue:
            return self._incoming is not None or len(self._queue) > 1 or self.has_unsent
        return self.account.incoming > 0 or bool(self._unparsed) or self.has_unsent

    def release_memory(self) -> None:
        """Give up requests that are not complete or wait, and answers that are not taken.

        The connection is closed, at once or after the answer to the request that is being served.
        """
        if self.has_unsent:
            self._unsent.clear()
            self.account.give_up_all()
            self.abort()
            return
        while len(self._queue) > 1:
            self.account.exchange_ended(self._queue.pop())
        self._drop_unparsed()
        # The handler of a request frees it when it learns of this.
        is_handled = bool(self._queue) and self._incoming is self._queue[0]
        self.account.give_up_incoming(self._incoming if is_handled else None)
        self._reject(ResultCode.NODE_MEMORY_FULL)

    def write(self, *parts: bytes) -> None:
        """Send bytes, and count them until the caller has taken them."""
        super().write(*parts)
        if self.has_unsent:
            self.account.write(sum(map(len, parts)))

    def _parse_unparsed(self) -> None:
        while self._unparsed and not self._is_reading_paused and self._rejection is None:
            size = len(self._unparsed) if self._incoming is not None else MAX_UNCHECKED_BYTES
            data, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            self.account.parse(len(data))
            try:
                self._parser.feed(data)
            except RequestError as error:
                self._drop_unparsed()
                self._reject(error.code)

    def _drop_unparsed(self) -> None:
        self.account.drop(len(self._unparsed))
        self._unparsed = self._uncounted = b""

    def pause_body(self) -> None:
        """Pause reading while a body or the queue of requests is full."""
        self._update_reading()

    def resume_body(self) -> None:
        """Resume reading if neither a body nor the queue of requests is full."""
        self._update_reading()

    def _update_reading(self) -> None:
        must_pause = (
            bool(self._uncounted)
            or len(self._queue) > MAX_PIPELINED
            or (self._incoming is not None and self._incoming.body.is_full)
        )
        if must_pause == self._is_reading_paused:
            return
        self._is_reading_paused = must_pause
        if must_pause:
            super().pause_body()
            return
        self._parse_unparsed()
        if not self._is_reading_paused:
            super().resume_body()

    def pause_writing(self) -> None:
        """Watch whether the caller reads on, as it has left bytes unread (asyncio callback)."""
        super().pause_writing()
        if self._unsent_timer is None:
            self._watch_unsent()

    def _watch_unsent(self) -> None:
        self._unsent_timer = self._loop.call_later(
            self._server.idle_timeout, self._check_unsent, self._unsent_bytes()
        )

    def _check_unsent(self, before: int) -> None:
        """Abort the connection of a caller that has not read anything for the idle timeout."""
        if self._unsent_bytes() == before:
            self.abort()
        else:
            self._watch_unsent()

    def _unsent_bytes(self) -> int:
        assert self._transport is not None
        return self._transport.get_write_buffer_size() + sum(map(len, self._unsent))

    def flushed(self) -> None:
        """Go on with the next request, as the caller has taken all answers."""
        super().flushed()
        self.account.flushed()
        if self._unsent_timer is not None:
            self._unsent_timer.cancel()
            self._unsent_timer = None
        if self._is_closing_after_flush and self._transport is not None:
            self._transport.close()
        elif self._awaits_flush:
            self._awaits_flush = False
            self._serve_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the running handler that its caller has disconnected (asyncio callback)."""
        self.closed = True
        self.account.close()
        self._disarm_timer()
        if self._incoming is not None:
            self._incoming.body.fail(
                BrokenExchangeError(
                    "connection to the caller was closed before the end of the request body"
                )
            )
        self._unsent.clear()
        self._unparsed = self._uncounted = b""
        if self._unsent_timer is not None:
            self._unsent_timer.cancel()
        self.release_writer()
        if self._queue:
            self._queue[0].disconnected()
        self._server.connection_closed(self)

    @property
    def max_head_bytes(self) -> int:
        """Return the largest size of a head, in bytes."""
        return self._server.max_head_bytes

    def head_started(self) -> None:
        """Limit the time for the head."""
        self._disarm_timer()
        self._arm_head_timer()

    def head_completed(
        self, head: RequestHead, *, keep_alive: bool, expects_continue: bool
    ) -> None:
        """Queue the exchange."""
        self._disarm_timer()
        exchange = ServerExchange(self, head, BodyStream(self), keep_alive)
        if expects_continue:
            exchange.expects_continue = True
            if self._server.auto_continue:
                exchange.send_continue()
        self._incoming = exchange
        self._queue.append(exchange)
        self.account.head_completed(exchange)
        if len(self._queue) == 1 and not self._awaits_flush:
            self._start_next()
        self._update_reading()

    def body_received(self, data: bytes) -> None:
        """Pass on a piece of the body."""
        if self._incoming is not None:
            self._incoming.body.feed(data)

    def request_completed(self) -> None:
        """Finish the request."""
        if self._incoming is not None:
            self.account.request_completed(self._incoming)
            self._incoming.body.finish()
            self._incoming = None

    def close_if_idle(self) -> None:
        """Close the connection if no request is being received or served."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Abort the connection, so that the caller detects an incomplete answer."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def stopping(self) -> bool:
        """Return whether the server is shutting down."""
        return self._server.stopping

    def exchange_ended(self, exchange: ServerExchange, *, keep: bool) -> None:
        """Start the next request, or close the connection unless ``keep`` is set."""
        if self._queue and self._queue[0] is exchange:
            self._queue.popleft()
        self.is_used = True
        self.account.exchange_ended(exchange)
        # A caller that was not sent 100 (Continue) ends its body unsent, see `ServerExchange`.
        body_open = not exchange.body.complete and not exchange.expects_continue
        if not keep or body_open or self._server.stopping:
            self._close_when_flushed()
        elif self.has_unsent:
            self._awaits_flush = True
        else:
            self._serve_next()

    def _close_when_flushed(self) -> None:
        if self._unsent:
            self._is_closing_after_flush = True
        elif self._transport is not None:
            self._transport.close()

    def _serve_next(self) -> None:
        if self._server.stopping:
            self._close_when_flushed()
            return
        self._update_reading()
        if self._queue:
            self._start_next()
        elif self._rejection is not None:
            self._answer_rejection(self._rejection)
        elif self._timer is None:
            self._arm_idle_timer()

    def _start_next(self) -> None:
        if self._queue and not self.closed:
            exchange = self._queue[0]
            exchange.task = self._loop.create_task(self._serve(exchange))

    async def _serve(self, exchange: ServerExchange) -> None:
        self._server.handler_started()
        try:
            await self._server.handler(exchange)
        except asyncio.CancelledError:
            exchange.abort()
        except Exception:
            exchange.abort()
            raise
        finally:
            self._server.handler_ended()
            if not exchange.ended:
                exchange.abort()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            super().pause_body()

    def _reject(self, code: ResultCode) -> None:
        self._rejection = code
        self._disarm_timer()
        if self._incoming is not None:
            self._incoming.body.fail(_body_error(code))
            self._incoming = None
            return
        if not self._queue:
            self._answer_rejection(code)

    def _answer_rejection(self, code: ResultCode) -> None:
        self.write(self._server.bad_request(code))
        self._close_when_flushed()

    def _arm_head_timer(self) -> None:
        self._timer = self._loop.call_later(self._server.head_timeout, self._on_head_timeout)

    def _arm_idle_timer(self) -> None:
        self._timer = self._loop.call_later(self._server.idle_timeout, self._on_idle_timeout)

    def _disarm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_head_timeout(self) -> None:
        if self._is_reading_paused:
            # The rest of the head may have arrived and not been read.
            self._arm_head_timer()
            return
        self._timer = None
        if not self.busy:
            self._reject(ResultCode.REQUEST_TIMEOUT)
        elif self._transport is not None and self._incoming is None:
            # The late head is of a pipelined request: it is rejected after the current exchange.
            self._rejection = ResultCode.REQUEST_TIMEOUT

    def _on_idle_timeout(self) -> None:
        self._timer = None
        if not self.busy and self._transport is not None:
            self._transport.close()


def _body_error(code: ResultCode) -> BrokenExchangeError:
    if code is ResultCode.NODE_MEMORY_FULL:
        return MemoryFullError("no memory for the rest of the request body")
    return BrokenExchangeError("malformed request body")
