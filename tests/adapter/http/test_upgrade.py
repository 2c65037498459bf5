"""Requests that offer another protocol are served as usual, and so is what follows them."""

from __future__ import annotations

import asyncio
import itertools
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.server_connection import ServerConnection

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange

ANSWER = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n(?:[^\r]+\r\n)*\r\n(?:=(/\w+)\|)?")
OFFERS = [
    b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABk\r\n",
    b"connection: keep-alive, Upgrade\r\nupgrade: websocket\r\nsec-websocket-key: a2V5\r\n",
    b"Connection: upgrade\r\nUpgrade: TLS/1.0, h2c\r\n",
    b"upgrade: h2c\r\n",
    b"connection: upgrade\r\n",
    b"",
]
LAST = b"GET /last HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
BODIES = [
    b"\r\n",
    b"content-length: 4\r\n\r\nbody",
    b"transfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
]


@dataclass(frozen=True)
class Sent:
    """A request and whether it is one for a tunnel."""

    method: bytes
    offer: bytes
    body: bytes

    def encode(self, number: int) -> bytes:
        target = b"x:%d" % number if self.is_tunnel else b"/r%d" % number
        return b"%b %b HTTP/1.1\r\nhost: x\r\n%b%b" % (self.method, target, self.offer, self.body)

    @property
    def is_tunnel(self) -> bool:
        return self.method == b"CONNECT"


async def echo(exchange: ServerExchange) -> None:
    body = await exchange.body.read_all()
    await asyncio.sleep(0)
    exchange.respond(200, [], b"=" + exchange.head.target + b"|" + body)


class RecordingTransport(asyncio.Transport):
    """Keeps what is written; delivers nothing once it is closed."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""
        self.closed = asyncio.Event()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.data += data

    def close(self) -> None:
        self.closed.set()

    def abort(self) -> None:
        self.closed.set()

    def is_closing(self) -> bool:
        return self.closed.is_set()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Go on: everything written is taken at once."""

    def pause_reading(self) -> None:
        """Go on: all data has been sent already."""

    def resume_reading(self) -> None:
        """Go on."""


async def answers_to(pieces: list[bytes]) -> list[tuple[bytes, bytes]]:
    """Return status and echoed target of each answer to the pieces and a last request."""
    transport = RecordingTransport()
    connection = ServerConnection(CallServer(("127.0.0.1", 0), echo))
    connection.connection_made(transport)
    for piece in [*pieces, LAST]:
        if not transport.is_closing():
            connection.data_received(piece)
            await asyncio.sleep(0)
    async with asyncio.timeout(10):
        await transport.closed.wait()
    connection.connection_lost(None)
    return ANSWER.findall(transport.data)


def expected_answers(requests: list[Sent]) -> list[tuple[bytes, bytes]]:
    answers = []
    for number, request in enumerate(requests):
        if request.is_tunnel:
            return [*answers, (b"400", b"")]
        answers.append((b"200", b"/r%d" % number))
    return [*answers, (b"200", b"/last")]


@pytest.mark.parametrize("method", [b"GET", b"POST", b"OPTIONS"])
@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("body", BODIES)
async def test_offer_of_an_upgrade_is_ignored(method: bytes, offer: bytes, body: bytes) -> None:
    """Guards against an answer 400 that no request waits for and the next one takes as its own."""
    requests = [Sent(method, offer, body), Sent(b"GET", b"", b"\r\n"), Sent(b"GET", b"", b"\r\n")]
    encoded = [request.encode(number) for number, request in enumerate(requests)]
    assert await answers_to(encoded) == expected_answers(requests)
    assert await answers_to([b"".join(encoded)]) == expected_answers(requests)


async def test_nothing_after_a_tunnel_request_is_read_as_a_request() -> None:
    requests = [
        Sent(b"POST", OFFERS[0], BODIES[1]),
        Sent(b"CONNECT", b"", b"\r\n"),
        Sent(b"GET", b"", b"\r\n"),
    ]
    encoded = [request.encode(number) for number, request in enumerate(requests)]
    assert await answers_to([b"".join(encoded)]) == [(b"200", b"/r0"), (b"400", b"")]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.builds(
            Sent,
            st.sampled_from([b"GET", b"POST", b"PUT", b"DELETE", b"CONNECT"]),
            st.sampled_from(OFFERS),
            st.sampled_from(BODIES),
        ),
        min_size=1,
        max_size=6,
    ),
    st.lists(st.integers(1, 900), max_size=6),
)
def test_each_complete_request_gets_one_answer_in_order(
    requests: list[Sent], cuts: list[int]
) -> None:
    data = b"".join(request.encode(number) for number, request in enumerate(requests))
    bounds = [0, *sorted({cut for cut in cuts if cut < len(data)}), len(data)]
    pieces = [data[start:end] for start, end in itertools.pairwise(bounds)]
    assert asyncio.run(answers_to(pieces)) == expected_answers(requests)
