"""One client connection: one exchange at a time, closed on any doubt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

import httptools

from hoisthook.adapter.http.body_stream import BodyStream
from hoisthook.adapter.http.flow_control import FlowControl
from hoisthook.adapter.http.message import PROCESSING_STATUS
from hoisthook.adapter.http.message import AnswerHead
from hoisthook.adapter.http.message import Header
from hoisthook.exceptions import BrokenExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HEAD_BYTES = 64 * 1024
CANCEL_SECONDS = 0.05


class ClientConnection(FlowControl):
    """A connection to a node or a backend server.

    The connection is reusable only after an answer that was whole, framed by
    its own length, kept alive, and followed by no surplus byte.
    """

    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpResponseParser | None = None
        self._head_waiter: asyncio.Future[AnswerHead] | None = None
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._bodyless = False
        self._accepts: Callable[[AnswerHead], bool] | None = None
        self._skipping = False
        self._ends_with_connection = False
        self._interim = False
        self._go_ahead: asyncio.Future[bool] | None = None
        self._processing: asyncio.Future[list[Header]] | None = None
        self._whole = False
        self._surplus = False
        self.body = BodyStream(self)
        self.closed = False
        self._gone = False
        self._gone_callbacks: list[Callable[[], None]] = []
        self._abort_timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0
        self.exchanges = 0

    @property
    def reusable(self) -> bool:
        """Return whether another exchange may use the connection."""
        if not self._whole or self._surplus or self.closed or self._transport is None:
            return False
        # Bytes of a request that was answered early would be taken for the next one.
        return self._transport.get_write_buffer_size() == 0

    @property
    def is_open(self) -> bool:
        """Return whether the transport can still be used."""
        return not self.closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def send(
        self,
        data: bytes,
        *,
        bodyless_answer: bool = False,
        accepts: Callable[[AnswerHead], bool] | None = None,
    ) -> asyncio.Future[AnswerHead]:
        """Start an exchange with the first bytes of a request.

        Parameters
        ----------
        data : bytes
            The head and what is there of the body.
        bodyless_answer : bool
            Whether the answer has no body whatever its headers say (HEAD).
        accepts : callable, optional
            Tells whether an answer belongs to this request; one that does not is
            passed over, and the next is awaited.

        Returns
        -------
        asyncio.Future of AnswerHead
            Fails with `BrokenExchangeError` when the connection drops first.
        """
        assert self._transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head_bytes = 0
        self._bodyless = bodyless_answer
        self._accepts = accepts
        self._skipping = False
        self._ends_with_connection = False
        self._whole = False
        self.exchanges += 1
        self.body = BodyStream(self)
        self._head_waiter = asyncio.get_running_loop().create_future()
        self._go_ahead = None
        self._processing = None
        if self.closed:
            self._fail("connection closed before the request")
        else:
            self._transport.write(data)
        return self._head_waiter

    def go_ahead(self) -> asyncio.Future[bool]:
        """Return whether the other side asks for the rest of the request, once that is known.

        It does so by an interim answer; False if the answer or the end comes first.
        """
        self._go_ahead = asyncio.get_running_loop().create_future()
        if self.closed:
            self._go_ahead.set_result(False)
        return self._go_ahead

    def processing(self) -> asyncio.Future[list[Header]]:
        """Return what the other side says once it keeps the request waiting, if it does."""
        self._processing = asyncio.get_running_loop().create_future()
        return self._processing

    def send_more(self, data: bytes) -> None:
        """Send a further piece of the request of the exchange under way."""
        if not self.closed and self._transport is not None:
            self._transport.write(data)

    def close(self) -> None:
        """Drop the connection; an unfinished exchange is cancelled by it.

        The other side is told by the end of the stream, and its own end says that it
        has noticed, see `on_gone`; after `CANCEL_SECONDS` it is not waited for.
        """
        if self.closed:
            return
        if self._transport is not None:
            if self._parser is None or self._whole:
                self._transport.abort()
            else:
                self._transport.write_eof()
                loop = asyncio.get_running_loop()
                self._abort_timer = loop.call_later(CANCEL_SECONDS, self._transport.abort)
        self._lose("connection dropped here")

    def on_gone(self, callback: Callable[[], None]) -> None:
        """Call back once the other side has let go of the connection, or now if it has."""
        if self._gone:
            callback()
        else:
            self._gone_callbacks.append(callback)

    def data_received(self, data: bytes) -> None:
        """Parse answer bytes; bytes outside an exchange close the connection."""
        if self.closed:
            return
        if self._parser is None or self._whole:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def eof_received(self) -> None:
        """Take the connection out of use before the loop gets to closing it.

        The end of the stream, unlike a reset, is the end of an answer without framing.
        """
        if self._ends_with_connection and not self._whole:
            self._end_exchange(keep=False)
        self._lose("connection ended by the other side")

    def connection_lost(self, exc: Exception | None) -> None:
        """End what was waiting."""
        self._lose("connection dropped by the other side")
        self._gone = True
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        for callback in self._gone_callbacks:
            callback()
        self._gone_callbacks.clear()

    def on_message_begin(self) -> None:
        """Begin a head; note a message behind the whole answer (parser callback)."""
        # A new list: the one before may belong to a head that was handed over.
        self._headers = []
        self._head_bytes = 0
        if self._whole:
            self._surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (parser callback)."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BrokenExchangeError("answer head too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand over the head (parser callback)."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        self._interim = 100 <= status < 200
        if self._interim:
            self._note_interim(status)
        if self._interim or self._whole:
            return
        head = AnswerHead(status, self._headers)
        if self._accepts is not None and not self._accepts(head):
            self._skipping = True
            return
        self._ends_with_connection = not self._bodyless and not head.is_framed
        self._settle_go_ahead(asked=False)
        waiter = self._head_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(head)
        if self._bodyless:
            self._end_exchange(keep=False)

    def on_body(self, data: bytes) -> None:
        """Hand over a piece of the body (parser callback)."""
        if not self._whole and not self._skipping:
            self.body.feed(data)

    def on_message_complete(self) -> None:
        """Note the end of the answer (parser callback)."""
        if self._interim or self._whole:
            return
        if self._skipping:
            self._skipping = False
            return
        assert self._parser is not None
        self._end_exchange(keep=self._parser.should_keep_alive())

    def _end_exchange(self, *, keep: bool) -> None:
        self._whole = True
        if not keep:
            self.closed = True
            if self._transport is not None:
                self._transport.close()
        self.body.finish()

    def _lose(self, reason: str) -> None:
        self.closed = True
        self._fail(reason)
        self.release_writer()

    def _note_interim(self, status: int) -> None:
        if status != PROCESSING_STATUS:
            self._settle_go_ahead(asked=True)
        elif self._processing is not None and not self._processing.done():
            self._processing.set_result(self._headers)

    def _settle_go_ahead(self, *, asked: bool) -> None:
        if self._go_ahead is not None and not self._go_ahead.done():
            self._go_ahead.set_result(asked)

    def _fail(self, reason: str) -> None:
        self._settle_go_ahead(asked=False)
        waiter = self._head_waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(BrokenExchangeError(reason))
            waiter.exception()
        self.body.fail(reason)
