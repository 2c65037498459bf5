"""Calls of nodes to the platform's store: at start, while it rejects them, and in steady state."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest
from hoisthook_platform.log_store import LogStore

from hoisthook.exceptions import StoreUnavailableError
from hoisthook.identity import parse_address
from hoisthook.mesh import configuration_watch
from hoisthook.mesh import peer_sync
from hoisthook.mesh import reader_polls
from hoisthook.mesh import registration
from hoisthook.mesh import store_readers
from hoisthook.mesh.peer_sync import PeerSync
from hoisthook.mesh.reader_polls import ReaderPolls
from hoisthook.result_code import ResultCode
from hoisthook.traffic import configuration_freshness
from standin.mesh_store import Outage
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.mesh.sync_messages import SyncReply
    from standin.mesh_system import MeshSystem

LONG_SECONDS = 60.0
NODES = 8


@pytest.fixture(autouse=True)
def long_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent waits, checks and periodic reads from ending, so that calls can be counted."""
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(configuration_freshness, "CHECK_SHARE", LONG_SECONDS)
    monkeypatch.setattr(configuration_freshness, "STALE_SHARE", LONG_SECONDS)
    monkeypatch.setattr(registration, "MIN_READ_SECONDS", LONG_SECONDS)


async def settled_system(system: MeshSystem, nodes: int = NODES) -> None:
    """Start the nodes of one data centre with one reader, and wait until they are idle."""
    system.readers_per_data_centre = 1
    for _ in range(nodes):
        await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    # The change ends reads that began before the nodes knew each other.
    system.publish(2, RouteOptions("shop"))
    await system.until_configured(2)
    await asyncio.sleep(configuration_watch.SETTLE_SECONDS + 0.1)


def recorded(system: MeshSystem) -> set[object]:
    """Return the incarnations that nodes have recorded."""
    return {line["instance"] for line in system.log.named("registered")}


@pytest.mark.parametrize("is_recorded", [False, True])
async def test_start_costs_the_store_two_calls_and_one_at_most_for_the_incarnation(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch, *, is_recorded: bool
) -> None:
    seconds = 0.0 if is_recorded else LONG_SECONDS
    monkeypatch.setattr(registration, "REREGISTRATION_SECONDS", seconds)
    await settled_system(system)
    calls_by_store: dict[LogStore, list[str]] = {}
    call = LogStore._call

    async def recorded_call(
        store: LogStore, method: bytes, name: str, *args: object, **options: object
    ) -> object:
        calls_by_store.setdefault(store, []).append(name)
        return await call(store, method, name, *args, **options)  # type: ignore[arg-type]

    monkeypatch.setattr(LogStore, "_call", recorded_call)
    for _ in range(3):
        machine = await system.add("shop")
        await system.until_configured(2)
        if machine.node._watch._readers.poll_targets():
            # Readers read again from time to time, which are not calls of the start.
            store = machine.node._registration._store._store  # type: ignore[attr-defined]
            calls = calls_by_store[store]
            instance = machine.backend.instance
            await until(lambda calls=calls: len(calls) >= 2)  # type: ignore[misc]
            if is_recorded:
                await until(lambda name=instance: name in recorded(system))  # type: ignore[misc]
            # The registration has the incarnation already if that was known by then.
            assert calls[:2] == ["log-newest", "log-append"]
            assert calls[2:] in ([], ["log-append"] if is_recorded else [])


async def test_starts_with_slow_readers_do_not_all_read_the_store(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against many reads at once by nodes that start together while machines are busy."""
    monkeypatch.setattr(peer_sync, "ANSWER_SECONDS", LONG_SECONDS)
    await settled_system(system)
    requests: list[object] = []
    may_answer = asyncio.Event()
    answer = PeerSync.answer

    async def slow(sync: PeerSync, exchange: ServerExchange) -> None:
        requests.append(exchange)
        await may_answer.wait()
        await answer(sync, exchange)

    before = len(system.store.calls)
    monkeypatch.setattr(PeerSync, "answer", slow)
    started = [await system.add("shop", announced=False) for _ in range(NODES)]
    await until(lambda: len(requests) >= NODES)
    # Well beyond the time within which a running reader usually answers.
    await asyncio.sleep(4 * reader_polls.FIRST_ANSWER_TIMEOUT_SECONDS)
    may_answer.set()
    await system.until_configured(2)
    readers = [m for m in started if not m.node._watch._readers.poll_targets()]
    # Each reads the list of nodes; one that becomes a reader reads the configuration too.
    assert system.store.calls[before:].count("log-newest") <= NODES + len(readers)
    assert len(readers) < NODES / 2
    assert system.log.named("configuration_read_at_start") == []


async def test_start_on_a_stalled_machine_costs_the_store_two_calls(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against mistaking a stall of the node itself for unresponsive readers."""
    await settled_system(system)
    poll = ReaderPolls._poll_one
    stalls = [3 * reader_polls.FIRST_ANSWER_TIMEOUT_SECONDS]

    async def stalls_then_polls(polls: ReaderPolls, *args: Any, **named: Any) -> SyncReply | None:
        if polls._holder.current is None and stalls:
            # The stall happens while the connection is being opened.
            asyncio.get_running_loop().call_soon(time.sleep, stalls.pop())
        return await poll(polls, *args, **named)

    monkeypatch.setattr(ReaderPolls, "_poll_one", stalls_then_polls)
    before = len(system.store.calls)
    machine = await system.add("shop", announced=False)
    await system.until_configured(2)
    assert machine.node._watch._readers.poll_targets()
    assert system.store.calls[before:] == ["log-newest", "log-append"]


async def test_start_with_unreachable_readers_reads_the_store_at_once(system: MeshSystem) -> None:
    await settled_system(system)
    reader = next(m for m in system.machines if not m.node._watch._readers.poll_targets())
    follower = next(m for m in system.machines if m is not reader)
    for machine in system.machines:
        machine.crash()
    system.machines = [follower]
    await system.restart(follower)
    await system.until_configured(2)
    (read,) = system.log.named("configuration_read_at_start")
    assert read["why"] == "no reader takes connections"


async def test_restart_costs_the_store_one_call(system: MeshSystem) -> None:
    await settled_system(system)
    follower = next(m for m in system.machines if m.node._watch._readers.poll_targets())
    name = follower.node.directory.me.node
    follower.crash()
    system.machines.remove(follower)
    before = len(system.store.calls)
    again = system._make(name, "shop", "one", follower.backend, system.log)
    again.node.directory.me = follower.node.directory.me
    await again.endpoints.start()
    await again.node.start()
    system.machines.append(again)
    await system.until_configured(2)
    assert system.store.calls[before:].count("log-read") == 0
    assert system.store.calls[before:].count("log-newest") == 1


async def test_few_nodes_call_a_store_that_rejects_all(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reader_polls, "POLL_HOLD_SECONDS", 0.1)
    monkeypatch.setattr(store_readers, "EXCLUSION_SECONDS", LONG_SECONDS)
    await settled_system(system)
    system.store.outage = Outage.BUSY
    for machine in system.machines:
        # End the waits in progress, as a connection reset does.
        for pool in system._store_pools:
            pool.close()
        machine.node.sync.store_away = False
    system.store.topic("keyed.op").grown.set()
    await asyncio.sleep(3.0)
    callers = [m for m in system.machines if m.node.sync.store_away]
    # One reader and its replacements, four candidates in all.
    assert 1 <= len(callers) <= 4


async def test_new_node_is_known_to_all_by_the_readers_alone(system: MeshSystem) -> None:
    """There are more nodes, in three data centres, than a new node could notify itself."""
    system.readers_per_data_centre = 1
    for number in range(36):
        await system.add("shop", data_centre=f"dc-{number % 3}")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    new = await system.add("shop", data_centre="dc-0")
    await until(lambda: all(len(m.node.directory) == 37 for m in system.machines))
    added = [line for line in system.log.named("peers_added") if "node-37" in str(line["peers"])]
    assert new.node.directory.me.node == "node-37"
    assert {line["source"] for line in added} == {"peer"}


async def test_polling_node_receives_only_the_delta(system: MeshSystem) -> None:
    await settled_system(system, 4)
    reader = next(m for m in system.machines if not m.node._watch._readers.poll_targets())
    follower = next(m for m in system.machines if m is not reader)
    for task in follower.node._tasks:
        # Only explicit polls are sent.
        task.cancel()
    address = parse_address(reader.node.directory.me.address)
    await follower.node.sync.poll(address, wants_news=True)
    await system.add("shop")
    await until(lambda: len(reader.node.directory) == 5)
    second = await follower.node.sync.poll(address, wants_news=True)
    third = await follower.node.sync.poll(address, wants_news=True)
    assert second is not None
    assert third is not None
    assert [peer.node for peer in second.peers] == ["node-5"]
    assert third.peers == []
    assert len(follower.node.directory) == 5


async def test_reader_rejected_by_the_store_is_replaced(system: MeshSystem) -> None:
    await settled_system(system, 6)
    reader = next(m for m in system.machines if not m.node._watch._readers.poll_targets())

    async def rejected(*_: object) -> None:
        raise StoreUnavailableError(ResultCode.STORE_UNAVAILABLE, "status 503")

    reader.node._watch._read_once = rejected
    system.publish(3, RouteOptions("shop"))
    # The wait in progress still delivers this version; the next wait fails.
    await system.until_configured(3)
    await until(lambda: reader.node.sync.store_away)
    system.publish(4, RouteOptions("shop"))
    await asyncio.wait_for(system.until_configured(4), 5.0)


async def test_announcement_to_an_unavailable_reader_is_repeated(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    await settled_system(system, 3)
    reader = next(m for m in system.machines if not m.node._watch._readers.poll_targets())
    requests = []
    answer = reader.node.sync.answer

    async def aborts_first_two(exchange: object) -> None:
        requests.append(exchange)
        # The question before the first read of the store, and the announcement.
        if len(requests) <= 2:
            exchange.abort()  # type: ignore[attr-defined]
            return
        await answer(exchange)  # type: ignore[arg-type]

    for machine in system.machines:
        if machine is not reader:
            for task in machine.node._tasks:
                task.cancel()
    monkeypatch.setattr(reader.node.sync, "answer", aborts_first_two)
    # In another data centre, so that it does not poll this reader for the configuration.
    await system.add("shop", data_centre="two")
    await until(lambda: len(reader.node.directory) == 4)
    assert len(requests) >= 3


async def test_common_start_costs_most_nodes_one_call(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Twenty nodes start together with no node registered; two read the list and send it on."""
    monkeypatch.setattr(registration, "EARLY_READ_SECONDS", 0.5)
    monkeypatch.setattr(registration, "PEER_LIST_TIMEOUT_SECONDS", 30.0)
    monkeypatch.setattr(registration, "LATE_START_SECONDS", 30.0)
    system.readers_per_data_centre = 1
    system.first_start = True
    await asyncio.gather(*(system.add("shop", announced=False) for _ in range(20)))
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    await until(lambda: all(len(m.node.directory) == 20 for m in system.machines))
    lists = [line for line in system.log.named("store_called") if line["topic"] == "keyed.nodes"]
    assert [line["call"] for line in lists].count("newest") <= 2
    assert [line["call"] for line in lists].count("put") == 20


async def test_node_that_receives_no_peer_list_reads_it_and_announces_itself(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(registration, "EARLY_READ_SECONDS", 0.1)
    monkeypatch.setattr(registration, "PEER_LIST_TIMEOUT_SECONDS", 0.1)
    system.readers_per_data_centre = 1
    await system.add("shop")
    await until(lambda: bool(system.log.named("registered")))
    system.first_start = True
    await system.add("shop")
    await until(lambda: all(len(m.node.directory) == 2 for m in system.machines))
