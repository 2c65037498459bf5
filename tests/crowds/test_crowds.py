"""Clients that send without end, stop short or do not read end no node, and others are answered.

Each test runs nodes as processes with little memory, one test at a time (marker ``crowd``).
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from hoisthook.identity import parse_address
from tests.crowds import requests
from tests.crowds.crowd import Crowd
from tests.crowds.requests import KIB
from tests.crowds.requests import MIB

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from tests.crowds.conftest import CrowdedSystem
    from tests.crowds.conftest import OpenSystem

    Stream = Callable[[int], Iterator[bytes]]

pytestmark = pytest.mark.crowd

# The whole head of a request may have 8 KiB; the sockets on both sides hold the rest.
MAX_ENDLESS_BYTES = 8 * MIB
SETTLED_SECONDS = 2.0
SETTLE_SECONDS = 30.0
MAX_DESCRIPTORS = 128
# Smallest memory of a machine that the platform has.
SMALLEST_MEMORY_MB = 200.0


async def crowd_at_callers(
    system: CrowdedSystem, stream: Stream, size: int, count: int, *, reads: bool = True
) -> Crowd:
    crowd = Crowd(parse_address(system.front.callers), lambda: stream(size), count, reads=reads)
    await crowd.start()
    return crowd


async def until_settled(system: CrowdedSystem) -> None:
    """Wait until the crowd's service answers nothing any more."""
    async with asyncio.timeout(SETTLE_SECONDS):
        answered, since = -1, time.monotonic()
        while time.monotonic() - since < SETTLED_SECONDS:
            if system.shop.backend.answered != answered:
                answered, since = system.shop.backend.answered, time.monotonic()
            await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    "stream",
    [
        requests.endless_header_line,
        requests.endless_field_name,
        requests.endless_target,
        requests.endless_trailer_line,
        requests.endless_chunk_extension,
        requests.empty_lines,
        requests.empty_lines_after_a_request,
    ],
)
async def test_line_without_end_is_refused_at_its_bound(
    open_system: OpenSystem, stream: Stream
) -> None:
    """Guards against bytes that no bound counts before the parser has a complete line."""
    async with open_system() as system:
        crowd = await crowd_at_callers(system, stream, 16 * MIB, 10)
        assert await system.ordinary_request() == 200
        system.assert_nodes_hold()
        assert max(client.sent for client in crowd.clients) < MAX_ENDLESS_BYTES
        assert all(client.is_closed for client in crowd.clients)
        crowd.close()


@pytest.mark.parametrize(
    ("stream", "size", "count"),
    [
        (requests.chunks_without_end, 4 * MIB, 40),
        (requests.body_one_byte_short, 4 * MIB, 40),
        (requests.tiny_chunks_without_end, 4 * MIB, 60),
        (requests.many_short_headers, 8 * KIB, 400),
    ],
)
async def test_requests_that_stop_short_do_not_fill_the_memory(
    open_system: OpenSystem, stream: Stream, size: int, count: int
) -> None:
    """Guards against requests that are held, whatever they add up to, until their deadline."""
    async with open_system() as system:
        crowd = await crowd_at_callers(system, stream, size, count)
        assert await system.ordinary_request() == 200
        system.assert_nodes_hold()
        assert system.shop.backend.runs == []
        crowd.close()


async def test_complete_bodies_that_wait_for_a_server_do_not_fill_the_memory(
    open_system: OpenSystem,
) -> None:
    """Guards against requests within the limits that a slow service lets pile up (review/2)."""
    async with open_system() as system:
        system.shop.backend.may_finish.clear()
        crowd = await crowd_at_callers(system, requests.complete_body, 4 * MIB, 40)
        assert await system.ordinary_request() == 200
        refused = sum(client.status == 503 for client in crowd.clients)
        system.shop.backend.may_finish.set()
        await until_settled(system)
        system.assert_nodes_hold()
        # The status 503 states that a request has not run and never will.
        assert len(system.shop.backend.runs) <= len(crowd.clients) - refused
        crowd.close()


async def test_pipelined_requests_do_not_fill_the_memory(open_system: OpenSystem) -> None:
    """Guards against a piece of data whose requests are all taken up at once."""
    async with open_system() as system:
        system.shop.backend.may_finish.clear()
        crowd = await crowd_at_callers(system, requests.pipelined_requests, MIB, 150)
        assert await system.ordinary_request() == 200
        system.assert_nodes_hold()
        crowd.close()


@pytest.mark.parametrize("answer_bytes", [15 * KIB, 200 * KIB])
async def test_answers_that_are_not_read_do_not_fill_the_memory(
    open_system: OpenSystem, answer_bytes: int
) -> None:
    """Guards against a connection whose next answer is made before the last one is read."""
    async with open_system() as system:
        system.shop.backend.answer_bytes = answer_bytes
        requests_each = 40 * KIB * KIB // answer_bytes
        stream = requests.pipelined_requests
        size = requests_each * len(requests.head() + b"\r\n")
        crowd = await crowd_at_callers(system, stream, size, 10, reads=False)
        await until_settled(system)
        assert await system.ordinary_request() == 200
        system.assert_nodes_hold()
        crowd.close()


@pytest.mark.parametrize(
    ("listener", "target"),
    [
        ("peers", b"/hoisthook/peers"),
        ("announcements", b"/-/Instances.Heartbeat/i-1"),
        ("announcements", b"/-/Instances.Deregister/i-1"),
    ],
)
async def test_bodies_at_other_listeners_do_not_fill_the_memory(
    open_system: OpenSystem, listener: str, target: bytes
) -> None:
    """Guards against messages of nodes and servers that are read whatever their size."""
    async with open_system() as system:
        address = parse_address(getattr(system.front, listener))
        stream = requests.chunks_to(b"node", target)
        crowd = Crowd(address, lambda: stream(4 * MIB), 40)
        await crowd.start()
        assert await system.ordinary_request() == 200
        system.assert_nodes_hold()
        crowd.close()


async def test_silent_connections_leave_descriptors_for_others(open_system: OpenSystem) -> None:
    """Guards against connections without a byte that use up the descriptors of the process."""
    async with open_system(max_descriptors=MAX_DESCRIPTORS) as system:
        crowd = await crowd_at_callers(system, lambda _size: iter(()), 0, 2 * MAX_DESCRIPTORS)
        assert await system.ordinary_request() == 200
        system.assert_nodes_hold()
        assert system.usage_by_name[system.front.name].descriptors < MAX_DESCRIPTORS
        crowd.close()


async def test_largest_body_is_served_in_calm_on_the_smallest_machine(
    open_system: OpenSystem,
) -> None:
    """Guards against a budget that refuses a single request within the limits."""
    async with open_system(memory_mb=SMALLEST_MEMORY_MB) as system:
        assert await system.request("shop", "large", b"x" * (64 * MIB)) == 200
        assert await system.request("front", "large-here", b"x" * (64 * MIB)) == 200
        system.assert_nodes_hold(SMALLEST_MEMORY_MB)


async def test_chunks_of_two_bytes_are_served_in_calm(open_system: OpenSystem) -> None:
    """Guards against a bound on what frames a body that a request within the limits exceeds."""
    async with open_system() as system:
        size = 4 * MIB
        crowd = Crowd(
            parse_address(system.front.callers),
            lambda: _with_last_chunk(requests.tiny_chunks_without_end(size)),
            1,
        )
        await crowd.start()
        (client,) = crowd.clients
        async with asyncio.timeout(SETTLE_SECONDS):
            while client.status is None:
                await asyncio.sleep(0.01)
        assert client.status == 200
        system.assert_nodes_hold()
        crowd.close()


def _with_last_chunk(pieces: Iterator[bytes]) -> Iterator[bytes]:
    yield from pieces
    yield requests.LAST_CHUNK
