"""Sends a request over a pooled connection and waits for the head of the answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import encode_chunk
from hoisthook.adapter.http.message import encode_request_head
from hoisthook.adapter.http.message import first_value
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.node.call import Lost
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.body_stream import BodyStream
    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header
    from hoisthook.node.attempt import Attempt
    from hoisthook.node.call import Call

_BODYLESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


class Exchanger:
    """One request on one connection, from its first byte to the head of its answer.

    The request is never resent here: a connection that drops gives `Lost`.

    Parameters
    ----------
    call : Call
        The call to send.
    headers : list of Header
        Headers to send in place of the call's own.
    """

    def __init__(self, call: Call, headers: list[Header]) -> None:
        self._call = call
        self._headers = headers
        self._body_sender: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def send(
        self, connection: ClientConnection, attempt: Attempt, now: float
    ) -> AnswerHead | Lost:
        """Send the call and return the head of the answer.

        The deadline timer runs until `stop`, so that it also closes the connection
        of an answer whose body is still being read at the deadline.
        """
        call = self._call
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, call.deadline - now), connection.close)
        attempt.on_abandon(connection.close)
        head = encode_request_head(call.method, call.target, self._framed_headers())
        first_bytes = self._frame(call.body) if call.body else b""
        if call.rest is None and self._chunked:
            first_bytes += b"0\r\n\r\n"
        waiter = connection.send(head + first_bytes, bodyless_answer=call.method == b"HEAD")
        if call.rest is not None:
            self._body_sender = loop.create_task(self._send_rest(connection, call.rest))
        try:
            return await waiter
        except BrokenExchangeError:
            self.stop()
            return Lost(ResultCode.ANSWER_LOST)
        except asyncio.CancelledError:
            connection.close()
            self.stop()
            raise

    def stop(self) -> None:
        """Stop the deadline timer and the task that sends the rest of the body."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._body_sender is not None:
            self._body_sender.cancel()
            self._body_sender = None

    @property
    def _chunked(self) -> bool:
        return self._call.rest is not None and self._declared_length() is None

    def _framed_headers(self) -> list[Header]:
        call = self._call
        headers = [header for header in self._headers if header[0] != b"content-length"]
        if call.rest is None:
            if call.body or call.method not in _BODYLESS_METHODS:
                headers.append((b"content-length", b"%d" % len(call.body)))
            return headers
        length = self._declared_length()
        if length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            headers.append((b"content-length", length))
        return headers

    def _declared_length(self) -> bytes | None:
        return first_value(self._call.headers, b"content-length")

    def _frame(self, data: bytes) -> bytes:
        return encode_chunk(data) if self._chunked else data

    async def _send_rest(self, connection: ClientConnection, rest: BodyStream) -> None:
        try:
            while data := await rest.read():
                connection.write(self._frame(data))
                await connection.drain()
            if self._chunked:
                connection.write(b"0\r\n\r\n")
        except BrokenExchangeError:
            connection.close()
