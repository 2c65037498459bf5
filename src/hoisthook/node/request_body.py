"""Buffers the body of a request, up to the limit for retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.node.call import MAX_BUFFERED_BODY_BYTES

if TYPE_CHECKING:
    from hoisthook.adapter.http.body_stream import BodyStream


async def read_body(stream: BodyStream) -> tuple[bytes, BodyStream | None]:
    """Return the buffered body and, if it exceeds the limit, the stream of its remainder.

    Raises
    ------
    BrokenExchangeError
        If the connection broke before the body was complete.
    """
    data = stream.take_buffered()
    while not stream.complete:
        if len(data) > MAX_BUFFERED_BODY_BYTES:
            return data, stream
        data += await stream.read()
    return data + stream.take_buffered(), None
