"""Reads a request's body as far as it is kept for another try."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.node.call import MAX_BUFFERED_BODY_BYTES

if TYPE_CHECKING:
    from hoisthook.adapter.http.body_stream import BodyStream


async def read_body(stream: BodyStream) -> tuple[bytes, BodyStream | None]:
    """Return the body's beginning and, if it is long, the stream of the rest.

    Raises
    ------
    BrokenExchangeError
        If the body broke off.
    """
    data = stream.take_buffered()
    while not stream.complete:
        if len(data) > MAX_BUFFERED_BODY_BYTES:
            return data, stream
        data += await stream.read()
    return data + stream.take_buffered(), None
