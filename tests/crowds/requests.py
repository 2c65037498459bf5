"""What clients send that do not behave, as streams of pieces."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

KIB = 1024
MIB = 1024 * KIB
PIECE = 64 * KIB
LAST_CHUNK = b"0\r\n\r\n"

_numbers = itertools.count(1)


def head(
    *, framing: bytes = b"", host: bytes = b"shop.example", target: bytes = b"/write/x"
) -> bytes:
    """Return the start of a head, without the empty line that ends it."""
    method = b"POST" if framing else b"GET"
    return (
        method + b" " + target + b" HTTP/1.1\r\nhost: " + host + b"\r\n"
        b"x-request-id: c%05d\r\n" % next(_numbers) + framing
    )


def repeated(piece: bytes, size: int) -> Iterator[bytes]:
    """Yield a number of bytes in pieces."""
    piece *= max(1, PIECE // len(piece))
    for start in range(0, size, len(piece)):
        yield piece[: size - start]


def endless_header_line(size: int) -> Iterator[bytes]:
    yield head() + b"a: "
    yield from repeated(b"x", size)


def endless_field_name(size: int) -> Iterator[bytes]:
    yield head()
    yield from repeated(b"x", size)


def endless_target(size: int) -> Iterator[bytes]:
    yield b"GET /"
    yield from repeated(b"x", size)


def empty_lines(size: int) -> Iterator[bytes]:
    yield from repeated(b"\r\n", size)


def empty_lines_after_a_request(size: int) -> Iterator[bytes]:
    yield head(target=b"/read/x") + b"\r\n"
    yield from repeated(b"\r\n", size)


def chunked_head() -> bytes:
    return head(framing=b"transfer-encoding: chunked\r\n") + b"\r\n"


def endless_trailer_line(size: int) -> Iterator[bytes]:
    yield chunked_head() + b"1\r\nx\r\n0\r\na: "
    yield from repeated(b"x", size)


def endless_chunk_extension(size: int) -> Iterator[bytes]:
    yield chunked_head() + b"1;"
    yield from repeated(b"x", size)


def chunks_without_end(size: int) -> Iterator[bytes]:
    yield chunked_head()
    yield from repeated(b"10000\r\n" + b"x" * PIECE + b"\r\n", size)


def tiny_chunks_without_end(size: int) -> Iterator[bytes]:
    """Yield chunks of two bytes each; the size counts what frames them too."""
    yield chunked_head()
    chunk = b"2\r\nxx\r\n"
    yield from repeated(chunk, size // len(chunk) * len(chunk))


def body_one_byte_short(size: int) -> Iterator[bytes]:
    yield head(framing=b"content-length: %d\r\n" % size) + b"\r\n"
    yield from repeated(b"x", size - 1)


def complete_body(size: int) -> Iterator[bytes]:
    yield head(framing=b"content-length: %d\r\n" % size) + b"\r\n"
    yield from repeated(b"x", size)


def many_short_headers(size: int) -> Iterator[bytes]:
    """Yield a head of the given size in short lines, and a body that stops short."""
    line = b"a:b\r\n"
    yield head(framing=b"content-length: 2\r\n") + line * (size // len(line)) + b"\r\nx"


def pipelined_requests(size: int) -> Iterator[bytes]:
    """Yield small requests, one after the other."""
    sent = 0
    while sent < size:
        piece = b"".join(head() + b"\r\n" for _ in range(200))
        sent += len(piece)
        yield piece


def chunks_to(host: bytes, target: bytes) -> Callable[[int], Iterator[bytes]]:
    """Return a stream of chunks without end for another path than that of the crowd's service."""

    def stream(size: int) -> Iterator[bytes]:
        framing = b"transfer-encoding: chunked\r\n"
        yield head(framing=framing, host=host, target=target) + b"\r\n"
        yield from repeated(b"10000\r\n" + b"x" * PIECE + b"\r\n", size)

    return stream
