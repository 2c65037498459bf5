"""Who gives up memory when a node has none left, and who is never asked to."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.byte_budget import FREE_BYTES
from hoisthook.adapter.http.byte_budget import ByteBudget
from hoisthook.adapter.http.byte_budget import Grant
from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.server_connection import MAX_UNCHECKED_BYTES
from hoisthook.exceptions import MemoryFullError
from tests.waiting import until

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange

KIB = 1024
MIB = 1024 * KIB
TOTAL = 8 * MIB
# All but the reserve for small holders.
LARGE_LIMIT = 7 * MIB
GOOD_REQUEST = b"POST /good HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody"


class StoredRequest:
    """A holder that frees what it gives up at once."""

    def __init__(self, budget: ByteBudget, size: int, *, complete: bool = False) -> None:
        self._budget = budget
        self.held = 0
        self.received_at = asyncio.get_running_loop().time()
        self.is_releasable = not complete
        self.is_given_up = False
        budget.add(self)
        self.grant = budget.hold(self, size)

    def release_memory(self) -> None:
        self.is_given_up = True
        self._budget.remove(self)


async def test_one_holder_may_have_all_but_the_reserve() -> None:
    budget = ByteBudget(TOTAL)
    assert StoredRequest(budget, LARGE_LIMIT, complete=True).grant is Grant.GIVEN
    assert StoredRequest(budget, FREE_BYTES + 1).grant is Grant.REFUSED
    # Small requests are served beside it.
    small = [StoredRequest(budget, FREE_BYTES) for _ in range(MIB // FREE_BYTES)]
    assert {request.grant for request in small} == {Grant.GIVEN}
    assert budget.held == TOTAL


async def test_the_largest_incomplete_request_is_given_up_first() -> None:
    budget = ByteBudget(TOTAL)
    sizes = (MIB, 3 * MIB, 2 * MIB)
    requests = [StoredRequest(budget, size) for size in sizes]
    complete = StoredRequest(budget, MIB, complete=True)
    assert StoredRequest(budget, MIB).grant is Grant.GIVEN
    assert [request.is_given_up for request in requests] == [False, True, False]
    assert not complete.is_given_up
    assert budget.held == 5 * MIB


async def test_what_has_received_nothing_for_long_is_given_up_before_a_larger_one() -> None:
    """Guards against stalled requests that outlast one that still arrives."""
    budget = ByteBudget(TOTAL)
    stalled = StoredRequest(budget, 3 * MIB)
    stalled.received_at -= 10.0
    arriving = StoredRequest(budget, 4 * MIB)
    assert budget.hold(arriving, MIB) is Grant.GIVEN
    assert stalled.is_given_up
    assert not arriving.is_given_up


async def test_the_one_that_asks_is_refused_if_it_would_be_the_next_to_give_up() -> None:
    budget = ByteBudget(TOTAL)
    small = StoredRequest(budget, MIB)
    large = StoredRequest(budget, 6 * MIB)
    assert budget.hold(large, MIB) is Grant.REFUSED
    assert not small.is_given_up


async def test_space_that_is_not_free_yet_is_given_later() -> None:
    """Guards against more and more requests given up for the same bytes."""
    budget = ByteBudget(TOTAL)
    given_up = StoredRequest(budget, 4 * MIB)
    other = StoredRequest(budget, 3 * MIB)
    freed_later = given_up.held

    def release_later() -> None:
        given_up.is_releasable = False
        budget.give_back_later(given_up, given_up.held)

    given_up.release_memory = release_later  # type: ignore[method-assign]
    asking = StoredRequest(budget, 2 * MIB)
    assert asking.grant is Grant.LATER
    budget.freed(freed_later)
    assert budget.hold(asking, 2 * MIB) is Grant.GIVEN
    assert not other.is_given_up


async def test_answer_takes_the_place_of_an_incomplete_request() -> None:
    """Guards against answers that wait for requests that never become complete."""
    budget = ByteBudget(TOTAL)
    request = StoredRequest(budget, LARGE_LIMIT)
    with budget.share() as share:
        await asyncio.wait_for(share.grow_to(2 * MIB), 10.0)
        assert request.is_given_up
    assert budget.held == 0


@pytest.mark.parametrize("clients", [1, 20])
async def test_connections_return_all_they_held(clients: int) -> None:
    """Guards against bytes that stay counted, so that nothing is left after some days."""
    refused = 0

    async def handle(exchange: ServerExchange) -> None:
        nonlocal refused
        try:
            exchange.respond(200, [], await exchange.body.read_all())
        except MemoryFullError:
            refused += 1
            exchange.respond(503, [])

    budget = ByteBudget(MIB)
    server = CallServer(("127.0.0.1", 0), handle, budget=budget)
    await server.start()
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % MIB
    writers = []
    for _ in range(clients):
        _, writer = await asyncio.open_connection(*server.address)
        writer.write(GOOD_REQUEST * 3 + head + b"x" * (200 * KIB))
        writers.append(writer)
    # What is parsed with the end of a request counts as its own.
    await until(lambda: budget.held >= 200 * KIB - MAX_UNCHECKED_BYTES)
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(GOOD_REQUEST)
    assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
    assert budget.held <= MIB
    for each in [*writers, writer]:
        each.transport.abort()
    await until(lambda: not server._connections)
    assert budget.held == 0
    assert budget._being_freed == 0
    assert refused <= clients
    server.abort()


async def test_incomplete_head_that_is_given_up_is_told_when_to_come_back() -> None:
    async def handle(exchange: ServerExchange) -> None:
        exchange.respond(200, [])

    budget = ByteBudget(MIB)
    server = CallServer(("127.0.0.1", 0), handle, budget=budget)
    await server.start()
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n")
    await until(lambda: any(c.account.incoming for c in server._connections))
    StoredRequest(budget, MIB, complete=True)
    StoredRequest(budget, FREE_BYTES)
    answer = await asyncio.wait_for(reader.read(), 10.0)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"hoisthook-ran: not-run" in answer
    assert b"retry-after: 0.5" in answer
    writer.close()
    server.abort()
