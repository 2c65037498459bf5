"""Random histories of connections: answers come in order, and no byte stays counted."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from hoisthook.adapter.http.byte_budget import ByteBudget
from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.server_connection import ServerConnection
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import MemoryFullError
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange

KIB = 1024
TOTAL = 200 * KIB
TARGET = re.compile(rb"\|(\d+)\|")
STATUS = re.compile(rb"HTTP/1\.1 (\d+)")
TURNS_TO_SETTLE = 200


class WindowedTransport(asyncio.Transport):
    """Takes what is written while the caller reads, and keeps the rest."""

    def __init__(self) -> None:
        super().__init__()
        self.protocol: ServerConnection | None = None
        self.taken = b""
        self.pending = b""
        self.reads = True
        self.is_closed = False
        self.is_reading_paused = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Any byte that is kept pauses writing."""

    def get_write_buffer_size(self) -> int:
        return len(self.pending)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        assert self.protocol is not None
        if self.is_closed:
            return
        if self.reads and not self.pending:
            self.taken += data
            return
        was_empty = not self.pending
        self.pending += data
        if was_empty:
            self.protocol.pause_writing()

    def set_reads(self, reads: bool) -> None:
        assert self.protocol is not None
        self.reads = reads
        if reads and self.pending and not self.is_lost:
            self.taken += self.pending
            self.pending = b""
            self.protocol.resume_writing()

    @property
    def is_lost(self) -> bool:
        assert self.protocol is not None
        return self.protocol.closed

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True
        self.pending = b""
        self.lose()

    def lose(self) -> None:
        if self.protocol is not None and not self.protocol.closed:
            asyncio.get_running_loop().call_soon(self._lose_now)

    def _lose_now(self) -> None:
        assert self.protocol is not None
        if not self.protocol.closed:
            self.protocol.connection_lost(None)

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        self.is_reading_paused = True

    def resume_reading(self) -> None:
        self.is_reading_paused = False


def request(number: int, body: int) -> bytes:
    head = b"POST /%d HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % (number, body)
    return head + b"x" * body


async def answer(exchange: ServerExchange) -> None:
    number = exchange.head.target[1:]
    try:
        body = await exchange.body.read_all()
    except MemoryFullError:
        exchange.respond(503, [])
        return
    except BrokenExchangeError:
        exchange.abort()
        return
    await asyncio.sleep(0)
    exchange.respond(200, [], b"|" + number + b"|" + b"y" * len(body))


class Histories:
    """Connections to one server, driven step by step."""

    def __init__(self, streams: list[list[int]]) -> None:
        self.budget = ByteBudget(TOTAL)
        self.server = CallServer(("127.0.0.1", 0), answer, budget=self.budget)
        self.transports: list[WindowedTransport] = []
        self.unsent = [b"".join(request(n, size) for n, size in enumerate(s)) for s in streams]
        for _ in streams:
            transport = WindowedTransport()
            connection = ServerConnection(self.server)
            transport.protocol = connection
            connection.connection_made(transport)
            self.transports.append(transport)

    async def step(self, number: int, action: str, size: int) -> None:
        number %= len(self.transports)
        transport = self.transports[number]
        connection = transport.protocol
        assert connection is not None
        if action == "send" and not transport.is_closed and not transport.is_reading_paused:
            data, self.unsent[number] = self.unsent[number][:size], self.unsent[number][size:]
            if data and not connection.closed:
                connection.data_received(data)
        elif action == "stop reading":
            transport.set_reads(False)
        elif action == "read on":
            transport.set_reads(True)
        elif action == "leave":
            transport.lose()
        await asyncio.sleep(0)

    def check(self) -> None:
        held = sum(t.protocol.account.held for t in self.transports if t.protocol is not None)
        assert self.budget.held == held
        assert self.budget._being_freed >= 0
        for transport in self.transports:
            targets = [int(target) for target in TARGET.findall(transport.taken)]
            assert targets == sorted(set(targets))
            # A refusal is the last thing that is said on a connection.
            statuses = STATUS.findall(transport.taken)
            assert b"503" not in statuses[:-1]

    async def settle(self) -> None:
        """Let all callers send and read on, as far as their connections last."""
        for _ in range(TURNS_TO_SETTLE):
            for number, transport in enumerate(self.transports):
                transport.set_reads(True)
                await self.step(number, "send", 16 * KIB)

    async def close(self) -> None:
        for transport in self.transports:
            transport.lose()
        for _ in range(10):
            await asyncio.sleep(0)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(["send"] * 6 + ["stop reading", "read on", "leave"]),
        st.integers(1, 16 * KIB),
    ),
    max_size=120,
)
STREAMS = st.lists(
    st.lists(st.sampled_from([0, 10, 3 * KIB, 40 * KIB, 120 * KIB]), min_size=1, max_size=12),
    min_size=1,
    max_size=6,
)


async def play(streams: list[list[int]], steps: list[tuple[int, str, int]]) -> Histories:
    histories = Histories(streams)
    for step in steps:
        await histories.step(*step)
        histories.check()
    return histories


@settings(max_examples=150)
@given(STREAMS, STEPS)
def test_nothing_stays_counted_and_answers_come_in_order(
    streams: list[list[int]], steps: list[tuple[int, str, int]]
) -> None:
    async def run() -> None:
        histories = await play(streams, steps)
        await histories.close()
        assert histories.budget.held == 0
        assert histories.budget._being_freed == 0

    asyncio.run(run())


@settings(max_examples=100)
@given(STREAMS, STEPS)
def test_each_connection_gets_all_its_answers_or_is_closed(
    streams: list[list[int]], steps: list[tuple[int, str, int]]
) -> None:
    """Guards against a connection that is neither served nor closed after a pause."""

    async def run() -> None:
        histories = await play(streams, steps)
        await histories.settle()
        histories.check()
        for stream, transport in zip(streams, histories.transports, strict=True):
            answered = len(TARGET.findall(transport.taken))
            assert answered == len(stream) or transport.is_closed or transport.is_lost
        await histories.close()

    asyncio.run(run())


def test_refusal_for_memory_states_that_the_request_has_not_run() -> None:
    assert ResultCode.NODE_MEMORY_FULL.value.http_status == 503
    assert ResultCode.NODE_MEMORY_FULL.ran.value == "not-run"
