"""Whatever is sent without an end, the parser holds no more of it than a head may have."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.request_parser import RequestParser
from hoisthook.exceptions import RequestError
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import RequestHead

KIB = 1024
MAX_HEAD_BYTES = 8 * KIB
HEAD = b"POST / HTTP/1.1\r\nhost: x\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
# What is sent once, and what is then sent without end.
ENDLESS_REQUESTS = {
    "empty lines": (b"", b"\r\n"),
    "empty lines after a request": (b"GET / HTTP/1.1\r\n\r\n", b"\r\n"),
    "target": (b"GET /", b"x"),
    "header line": (HEAD + b"a: ", b"x"),
    "header name": (HEAD, b"x"),
    "header lines": (HEAD, b"a:b\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "extension of a later chunk": (CHUNKED + b"1\r\nx\r\n1;", b"x"),
    "trailer line": (CHUNKED + b"0\r\na: ", b"x"),
    "trailer name": (CHUNKED + b"0\r\n", b"x"),
    "trailer lines": (CHUNKED + b"0\r\n", b"a:b\r\n"),
}


class Receiver:
    """Counts what the parser reports."""

    max_head_bytes = MAX_HEAD_BYTES

    def __init__(self) -> None:
        self.heads: list[RequestHead] = []
        self.body = b""
        self.body_pieces = 0
        self.completed = 0

    def head_started(self) -> None:
        """Ignore it."""

    def head_completed(
        self, head: RequestHead, *, keep_alive: bool, expects_continue: bool
    ) -> None:
        self.heads.append(head)

    def body_received(self, data: bytes) -> None:
        self.body += data
        self.body_pieces += 1

    def request_completed(self) -> None:
        self.completed += 1


def feed_in_pieces(parser: RequestParser, data: bytes, piece: int) -> int:
    """Feed data until the parser refuses it; return the bytes fed."""
    for start in range(0, len(data), piece):
        try:
            parser.feed(data[start : start + piece])
        except RequestError as error:
            assert error.code is ResultCode.REQUEST_TOO_LARGE
            return min(len(data), start + piece)
    raise AssertionError("not refused")


@pytest.mark.parametrize("piece", [1, 7, KIB, 64 * KIB])
@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_request_without_end_is_refused_at_the_bound_of_a_head(kind: str, piece: int) -> None:
    """Guards against bytes that are counted only when a line is complete."""
    first, more = ENDLESS_REQUESTS[kind]
    # Of a header line the names and values count, here two bytes of five. The rest of a piece
    # behind what the parser reports is not counted.
    bound = len(first) + 3 * MAX_HEAD_BYTES + 2 * piece
    data = first + more * bound
    assert feed_in_pieces(RequestParser(Receiver()), data, piece) <= bound


@pytest.mark.parametrize("piece", [1, 7, KIB, 64 * KIB])
def test_request_of_the_largest_size_is_read(piece: int) -> None:
    target = b"/" + b"t" * (MAX_HEAD_BYTES // 4)
    value = b"v" * (MAX_HEAD_BYTES // 2)
    head = b"POST " + target + b" HTTP/1.1\r\na: " + value + b"\r\ntransfer-encoding: chunked\r\n"
    # Chunks of one byte are framed by five times their size.
    data = head + b"\r\n" + b"1\r\nx\r\n" * MAX_HEAD_BYTES + b"0\r\n\r\n"
    receiver = Receiver()
    parser = RequestParser(receiver)
    for start in range(0, 2 * len(data), piece):
        parser.feed((data + data)[start : start + piece])
    assert receiver.completed == 2
    assert receiver.body == 2 * MAX_HEAD_BYTES * b"x"
    assert [head.target for head in receiver.heads] == [target, target]


def test_body_in_small_chunks_is_passed_on_once_for_each_piece_of_data() -> None:
    """Guards against a step of the body's reader for each of hundreds of thousands of chunks."""
    receiver = Receiver()
    parser = RequestParser(receiver)
    parser.feed(CHUNKED)
    for _ in range(4):
        parser.feed(b"2\r\nxy\r\n" * KIB)
    assert receiver.body == b"xy" * 4 * KIB
    assert receiver.body_pieces == 4
