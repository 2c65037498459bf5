"""HTTP client connection for one exchange at a time; closed on any protocol violation."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import cast

import httptools

from hoisthook.adapter.http.answer_bounds import AnswerMeter
from hoisthook.adapter.http.answer_check import check_answer_head
from hoisthook.adapter.http.body_stream import BodyStream
from hoisthook.adapter.http.flow_control import FlowControl
from hoisthook.adapter.http.message import PROCESSING_STATUS
from hoisthook.adapter.http.message import AnswerHead
from hoisthook.adapter.http.message import Header
from hoisthook.exceptions import AnswerTooLargeError
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import MalformedAnswerError
from hoisthook.exceptions import UnaskedUpgradeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.byte_budget import ByteBudget

# Bytes of a cancelled exchange that are read until the other side closes.
MAX_DISCARDED_BYTES = 256 * 1024
CANCEL_TIMEOUT_SECONDS = 0.05


class ClientConnection(FlowControl, asyncio.Protocol):
    """A connection to a node or a backend server.

    The connection is reusable only after an answer that was complete, framed by its own length,
    kept alive, and not followed by surplus bytes.

    Parameters
    ----------
    budget : ByteBudget
        For the answers of this and other connections.

    Attributes
    ----------
    budget : ByteBudget
        For the answers of this and other connections.
    identity : str or None
        Identity that the node on the other side has stated, see `NodeConnections`.
    idle_since : float
        When the last exchange ended, on the loop's clock.
    exchanges : int
        Exchanges started so far.
    """

    def __init__(self, budget: ByteBudget) -> None:
        super().__init__()
        self.budget = budget
        self._parser: httptools.HttpResponseParser | None = None
        self._head_waiter: asyncio.Future[AnswerHead] | None = None
        self._headers: list[Header] = []
        self._reason = b""
        self._meter = AnswerMeter()
        self._discarded = 0
        self._bodyless = False
        self._accepts: Callable[[AnswerHead], bool] | None = None
        self._skipping = False
        self._ends_with_connection = False
        self._is_interim = False
        self._go_ahead: asyncio.Future[bool] | None = None
        self._processing: asyncio.Future[list[Header]] | None = None
        self._complete = False
        self._surplus = False
        self.body = BodyStream(self)
        self.closed = False
        self._fully_closed = False
        self._fully_closed_callbacks: list[Callable[[], None]] = []
        self._abort_timer: asyncio.TimerHandle | None = None
        self.identity: str | None = None
        self.idle_since = 0.0
        self.exchanges = 0

    @property
    def reusable(self) -> bool:
        """Return whether another exchange may use the connection."""
        if not self._complete or self._surplus or self.closed or self._transport is None:
            return False
        # The unsent rest of a request that was answered early would be read as the next request.
        return not self._unsent and self._transport.get_write_buffer_size() == 0

    @property
    def is_open(self) -> bool:
        """Return whether the transport can still be used."""
        return not self.closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        self._transport = cast("asyncio.Transport", transport)

    def send(
        self,
        *parts: bytes,
        bodyless_answer: bool = False,
        accepts: Callable[[AnswerHead], bool] | None = None,
    ) -> asyncio.Future[AnswerHead]:
        """Start an exchange by sending the first bytes of a request.

        Parameters
        ----------
        *parts : bytes
            The head and the part of the body that is available.
        bodyless_answer : bool
            Whether the answer has no body regardless of its headers (HEAD).
        accepts : callable, optional
            Returns whether an answer belongs to this request; an answer that does not is skipped,
            and the next one is awaited.

        Returns
        -------
        asyncio.Future of AnswerHead
            Fails with `BrokenExchangeError` if the connection is closed before.
        """
        assert self._transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._meter = AnswerMeter()
        self._bodyless = bodyless_answer
        self._accepts = accepts
        self._skipping = False
        self._ends_with_connection = False
        self._complete = False
        self.exchanges += 1
        self.body = BodyStream(self)
        self._head_waiter = asyncio.get_running_loop().create_future()
        self._go_ahead = None
        self._processing = None
        if self.closed:
            self._fail(BrokenExchangeError("connection was closed before the request was sent"))
        else:
            self.write(*parts)
        return self._head_waiter

    def go_ahead(self) -> asyncio.Future[bool]:
        """Return a future of whether the other side requests the rest of the request.

        It does so with an interim answer such as 100 (Continue); False if the final answer or the
        end of the connection comes first.
        """
        self._go_ahead = asyncio.get_running_loop().create_future()
        if self.closed:
            self._go_ahead.set_result(False)
        return self._go_ahead

    def processing(self) -> asyncio.Future[list[Header]]:
        """Return a future of the headers of a 102 (Processing) answer; pending until it arrives."""
        self._processing = asyncio.get_running_loop().create_future()
        return self._processing

    def close(self) -> None:
        """Close the connection; this cancels an unfinished exchange.

        Half-closing the stream signals the cancellation to the other side, which acknowledges it by
        closing its own side, see `on_fully_closed`. If it does not do so within
        `CANCEL_TIMEOUT_SECONDS`, the connection is aborted.
        """
        if self.closed:
            return
        is_idle = self._parser is None or self._complete
        if self._transport is not None and (is_idle or not self._half_close()):
            self._transport.abort()
        self._mark_closed("connection closed by this side")

    def abort(self) -> None:
        """Close the connection without waiting for the other side."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_closed("connection closed by this side")

    def _half_close(self) -> bool:
        """Signal the end of the stream; return False if the other side has reset it already."""
        assert self._transport is not None
        try:
            self._transport.write_eof()
        except OSError:
            return False
        loop = asyncio.get_running_loop()
        self._abort_timer = loop.call_later(CANCEL_TIMEOUT_SECONDS, self._transport.abort)
        return True

    def on_fully_closed(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once both sides have closed the connection, or now if they have."""
        if self._fully_closed:
            callback()
        else:
            self._fully_closed_callbacks.append(callback)

    def data_received(self, data: bytes) -> None:
        """Parse answer bytes; bytes outside an exchange close the connection (asyncio callback)."""
        if self.closed:
            self._discard(data)
            return
        if self._parser is None or self._complete:
            self.close()
            return
        self._meter.received(len(data))
        try:
            self._parser.feed_data(data)
            if not self._complete:
                self._meter.check()
        except AnswerTooLargeError as error:
            self._fail(error)
            self.abort()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if isinstance(error.__context__, AnswerTooLargeError):
                self._fail(error.__context__)
            self.abort()

    def eof_received(self) -> None:
        """Mark the connection as closed before the loop closes it (asyncio callback).

        Unlike a reset, the end of the stream completes an answer without framing.
        """
        if self._ends_with_connection and not self._complete:
            self._end_exchange(keep=False)
        self._mark_closed("connection closed by the other side")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending exchange (asyncio callback)."""
        self._mark_closed("connection lost")
        self._fully_closed = True
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        for callback in self._fully_closed_callbacks:
            callback()
        self._fully_closed_callbacks.clear()

    def on_message_begin(self) -> None:
        """Begin a head; detect a message after the complete answer (parser callback)."""
        # A new list, since a head that was passed on may hold the previous one.
        self._headers = []
        self._reason = b""
        if self._complete:
            self._surplus = True

    def on_status(self, reason: bytes) -> None:
        """Collect a piece of the reason phrase (parser callback)."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (parser callback)."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass on the head (parser callback)."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        try:
            version = self._parser.get_http_version()
            check_answer_head(status, version, self._reason, self._headers)
        except MalformedAnswerError as malformed:
            self._fail(malformed)
            raise
        if status == HTTPStatus.SWITCHING_PROTOCOLS:
            error = UnaskedUpgradeError("answer 101 to a request that offers no upgrade")
            self._fail(error)
            raise error
        self._is_interim = 100 <= status < 200
        if self._is_interim:
            self._meter.interim_received()
            self._handle_interim(status)
        if self._is_interim or self._complete:
            return
        head = AnswerHead(status, self._headers)
        if self._accepts is not None and not self._accepts(head):
            self._skipping = True
            self._meter.answer_skipped()
            return
        self._meter.head_completed()
        self._ends_with_connection = not self._bodyless and not head.is_framed
        self._resolve_go_ahead(requested=False)
        waiter = self._head_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(head)
        if self._bodyless:
            self._end_exchange(keep=False)

    def on_body(self, data: bytes) -> None:
        """Pass on a piece of the body (parser callback)."""
        if self._skipping:
            self._meter.skipped_body_received(len(data))
        elif not self._complete:
            self._meter.body_received(len(data))
            self.body.feed(data)

    def on_message_complete(self) -> None:
        """Finish the answer (parser callback)."""
        if self._is_interim or self._complete:
            return
        if self._skipping:
            self._skipping = False
            return
        assert self._parser is not None
        self._end_exchange(keep=self._parser.should_keep_alive())

    def _end_exchange(self, *, keep: bool) -> None:
        self._complete = True
        if not keep:
            self.closed = True
            if self._transport is not None:
                self._transport.close()
        self.body.finish()

    def _discard(self, data: bytes) -> None:
        """Drop bytes that arrive while the other side has not closed yet, up to a bound."""
        self._discarded += len(data)
        if self._discarded > MAX_DISCARDED_BYTES and self._transport is not None:
            self._transport.abort()

    def _mark_closed(self, reason: str) -> None:
        self.closed = True
        self._fail(BrokenExchangeError(reason))
        self._unsent.clear()
        self.release_writer()

    def _handle_interim(self, status: int) -> None:
        if status != PROCESSING_STATUS:
            self._resolve_go_ahead(requested=True)
        elif self._processing is not None and not self._processing.done():
            self._processing.set_result(self._headers)

    def _resolve_go_ahead(self, *, requested: bool) -> None:
        if self._go_ahead is not None and not self._go_ahead.done():
            self._go_ahead.set_result(requested)

    def _fail(self, error: BrokenExchangeError) -> None:
        self._resolve_go_ahead(requested=False)
        waiter = self._head_waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
            waiter.exception()
        self.body.fail(error)
