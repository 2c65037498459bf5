"""Parses the requests of a connection within bounds on what is read without a result."""

from __future__ import annotations

from typing import Protocol

import httptools

from hoisthook.adapter.http.message import FRAMING
from hoisthook.adapter.http.message import Header
from hoisthook.adapter.http.message import RequestHead
from hoisthook.adapter.http.message import encode_request_head
from hoisthook.exceptions import RequestError
from hoisthook.result_code import ResultCode

TUNNEL_METHOD = b"CONNECT"


class RequestReceiver(Protocol):
    """Receives the parts of requests as they become complete."""

    @property
    def max_head_bytes(self) -> int:
        """Return the largest size of a head, in bytes."""

    def head_started(self) -> None:
        """Process the first byte of a request."""

    def head_completed(
        self, head: RequestHead, *, keep_alive: bool, expects_continue: bool
    ) -> None:
        """Process the head of a request."""

    def body_received(self, data: bytes) -> None:
        """Process a piece of the body."""

    def request_completed(self) -> None:
        """Process the end of a request."""


class RequestParser:
    """Feeds the parts of requests to a receiver.

    The bytes of target, headers and trailers of a request are bounded together. So are the bytes
    since the parser has last reported anything: lines without end, chunk extensions and empty
    lines are reported late or never.

    Parameters
    ----------
    receiver : RequestReceiver
        Called while data is being parsed.
    """

    def __init__(self, receiver: RequestReceiver) -> None:
        self._receiver = receiver
        self._body_pieces: list[bytes] = []
        # Parser callback: a body may come in hundreds of thousands of chunks.
        self.on_body = self._body_pieces.append
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._unreported_bytes = 0
        self._has_reported = False
        self._expects_continue = False
        # Framing of the request whose offer of an upgrade is being ignored.
        self._offered_framing: list[Header] | None = None

    def feed(self, data: bytes) -> None:
        """Parse a piece of data.

        Raises
        ------
        RequestError
            With ``REQUEST_TOO_LARGE`` if a bound is exceeded, with ``REQUEST_MALFORMED`` if the
            data is no request. Nothing may be fed after that.
        """
        self._has_reported = False
        try:
            self._feed(data)
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, RequestError):
                raise error.__context__ from None
            raise RequestError(ResultCode.REQUEST_MALFORMED, str(error)) from error
        self._pass_on_body()
        self._unreported_bytes = 0 if self._has_reported else self._unreported_bytes + len(data)
        if self._unreported_bytes > self._receiver.max_head_bytes:
            raise RequestError(ResultCode.REQUEST_TOO_LARGE, "line exceeds the limit of the head")

    def _feed(self, data: bytes) -> None:
        """Feed the parser, which stops behind the head of a request that offers an upgrade.

        The offer is ignored (RFC 9110, section 7.8). A new parser is given the framing of the
        request and reads its body and what follows.
        """
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                assert self._offered_framing is not None
                data = data[offer.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                self._parser.feed_data(encode_request_head(b"POST", b"/", self._offered_framing))
            else:
                return

    def on_message_begin(self) -> None:
        """Start collecting a head (parser callback)."""
        if self._offered_framing is not None:
            return
        self._has_reported = True
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._expects_continue = False
        self._receiver.head_started()

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the target (parser callback)."""
        if self._offered_framing is not None:
            return
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (parser callback)."""
        if self._offered_framing is not None:
            return
        self._count_head(len(name) + len(value))
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass on the head (parser callback)."""
        if self._offered_framing is not None:
            self._offered_framing = None
            return
        method = self._parser.get_method()
        if method == TUNNEL_METHOD:
            # What follows is not HTTP, so none of it may be read as a request.
            raise RequestError(ResultCode.REQUEST_MALFORMED, "tunnels are not supported")
        head = RequestHead(method, self._target, self._headers)
        # The parser reports trailers of a chunked body like headers. In the list of the head they
        # would let a caller add headers after the head was checked.
        self._headers = []
        self._has_reported = True
        if self._parser.should_upgrade():
            self._offered_framing = [h for h in head.headers if h[0] in FRAMING]
        self._receiver.head_completed(
            head,
            keep_alive=self._parser.should_keep_alive(),
            expects_continue=self._expects_continue,
        )

    def on_message_complete(self) -> None:
        """Finish the request (parser callback)."""
        if self._offered_framing is None:
            self._pass_on_body()
            self._has_reported = True
            self._receiver.request_completed()

    def _pass_on_body(self) -> None:
        if self._body_pieces:
            self._has_reported = True
            self._receiver.body_received(b"".join(self._body_pieces))
            self._body_pieces.clear()

    def _count_head(self, size: int) -> None:
        self._has_reported = True
        self._head_bytes += size
        if self._head_bytes > self._receiver.max_head_bytes:
            raise RequestError(ResultCode.REQUEST_TOO_LARGE, "head exceeds its limit")
