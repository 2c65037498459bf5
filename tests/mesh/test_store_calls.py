"""What nodes cost the platform's store: at their start, while it turns them away, and always."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest

from hoisthook.exceptions import StoreUnavailableError
from hoisthook.identity import parse_address
from hoisthook.mesh import configuration_watch
from hoisthook.mesh import peer_sync
from hoisthook.mesh import registration
from hoisthook.mesh import store_readers
from hoisthook.mesh.configuration_watch import ConfigurationWatch
from hoisthook.mesh.peer_sync import PeerSync
from hoisthook.result_code import ResultCode
from standin.mesh_store import Outage
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from standin.mesh_system import MeshSystem

LONG_SECONDS = 60.0
NODES = 8


@pytest.fixture(autouse=True)
def long_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep waits for changes and reads in turn from ending, so that calls can be counted."""
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(registration, "MIN_READ_SECONDS", LONG_SECONDS)


async def calm_system(system: MeshSystem, nodes: int = NODES) -> None:
    """Start nodes of one data centre, one of which reads, and let them come to rest."""
    system.readers_per_data_centre = 1
    for _ in range(nodes):
        await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    # Reads that began before the nodes knew each other end with a change.
    system.publish(2, RouteOptions("shop"))
    await system.until_configured(2)
    await asyncio.sleep(configuration_watch.SETTLE_SECONDS + 0.1)


async def test_start_costs_the_store_two_calls(system: MeshSystem) -> None:
    await calm_system(system)
    before = len(system.store.calls)
    for _ in range(3):
        # A node that reads itself has one call more; the others are counted.
        machine = await system.add("shop")
        await system.until_configured(2)
        if machine.node._watch._readers.to_ask():
            assert system.store.calls[before:] == ["log-newest", "log-append"]
        before = len(system.store.calls)


async def test_starts_beside_slow_readers_do_not_all_read_the_store(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a herd of reads by nodes that start together while machines are busy."""
    monkeypatch.setattr(peer_sync, "ANSWER_SECONDS", LONG_SECONDS)
    await calm_system(system)
    asked: list[object] = []
    goes_on = asyncio.Event()
    answer = PeerSync.answer

    async def slow(sync: PeerSync, exchange: ServerExchange) -> None:
        asked.append(exchange)
        await goes_on.wait()
        await answer(sync, exchange)

    before = len(system.store.calls)
    monkeypatch.setattr(PeerSync, "answer", slow)
    started = [await system.add("shop", announced=False) for _ in range(NODES)]
    await until(lambda: len(asked) >= NODES)
    # Well beyond the time within which a reader that is there is usually heard.
    await asyncio.sleep(4 * configuration_watch.FIRST_ANSWER_SECONDS)
    goes_on.set()
    await system.until_configured(2)
    readers = [m for m in started if not m.node._watch._readers.to_ask()]
    # Each reads the list of nodes; one that becomes a reader itself, the configuration too.
    assert system.store.calls[before:].count("log-newest") <= NODES + len(readers)
    assert len(readers) < NODES / 2
    assert system.log.named("configuration_read_at_start") == []


async def test_start_on_a_machine_that_stands_still_costs_the_store_two_calls(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking the node's own stall for the silence of its readers."""
    await calm_system(system)
    ask = ConfigurationWatch._ask
    stalls = [3 * configuration_watch.FIRST_ANSWER_SECONDS]

    async def standing_still(watch: ConfigurationWatch, *args: Any, **named: Any) -> bool:
        if watch._holder.current is None and stalls:
            # Once the connection is being opened, and before it is known to be open.
            asyncio.get_running_loop().call_soon(time.sleep, stalls.pop())
        return await ask(watch, *args, **named)

    monkeypatch.setattr(ConfigurationWatch, "_ask", standing_still)
    before = len(system.store.calls)
    machine = await system.add("shop", announced=False)
    await system.until_configured(2)
    assert machine.node._watch._readers.to_ask()
    assert system.store.calls[before:] == ["log-newest", "log-append"]


async def test_start_whose_readers_are_gone_reads_the_store_at_once(system: MeshSystem) -> None:
    await calm_system(system)
    reader = next(m for m in system.machines if not m.node._watch._readers.to_ask())
    follower = next(m for m in system.machines if m is not reader)
    for machine in system.machines:
        machine.crash()
    system.machines = [follower]
    await system.restart(follower)
    await system.until_configured(2)
    (read,) = system.log.named("configuration_read_at_start")
    assert read["why"] == "no reader takes connections"


async def test_restart_costs_the_store_one_call(system: MeshSystem) -> None:
    await calm_system(system)
    follower = next(m for m in system.machines if m.node._watch._readers.to_ask())
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


async def test_few_nodes_ask_a_store_that_turns_all_away(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(configuration_watch, "FOLLOW_SECONDS", 0.1)
    monkeypatch.setattr(store_readers, "PASSED_OVER_SECONDS", LONG_SECONDS)
    await calm_system(system)
    system.store.outage = Outage.BUSY
    for machine in system.machines:
        # Waits that are under way end, as connections that are reset do.
        for pool in system._store_pools:
            pool.close()
        machine.node.sync.store_away = False
    system.store.topic("keyed.op").grown.set()
    await asyncio.sleep(3.0)
    callers = [m for m in system.machines if m.node.sync.store_away]
    # One reader, and four times as many that may take its place.
    assert 1 <= len(callers) <= 4


async def test_new_node_is_known_to_all_by_the_readers_alone(system: MeshSystem) -> None:
    """More nodes than a new one could tell by itself, in three data centres."""
    system.readers_per_data_centre = 1
    for number in range(36):
        await system.add("shop", data_centre=f"dc-{number % 3}")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    new = await system.add("shop", data_centre="dc-0")
    await until(lambda: all(len(m.node.directory) == 37 for m in system.machines))
    told = [line for line in system.log.named("peers_added") if "node-37" in str(line["peers"])]
    assert new.node.directory.me.node == "node-37"
    assert {line["source"] for line in told} == {"peer"}


async def test_follower_is_told_the_difference_only(system: MeshSystem) -> None:
    await calm_system(system, 4)
    reader = next(m for m in system.machines if not m.node._watch._readers.to_ask())
    follower = next(m for m in system.machines if m is not reader)
    for task in follower.node._tasks:
        # It asks only when it is told to.
        task.cancel()
    address = parse_address(reader.node.directory.me.address)
    await follower.node.sync.ask(address, wants_news=True)
    await system.add("shop")
    await until(lambda: len(reader.node.directory) == 5)
    second = await follower.node.sync.ask(address, wants_news=True)
    third = await follower.node.sync.ask(address, wants_news=True)
    assert second is not None
    assert third is not None
    assert [peer.node for peer in second.peers] == ["node-5"]
    assert third.peers == []
    assert len(follower.node.directory) == 5


async def test_reader_that_the_store_turns_away_is_replaced(system: MeshSystem) -> None:
    await calm_system(system, 6)
    reader = next(m for m in system.machines if not m.node._watch._readers.to_ask())

    async def turned_away(*_: object) -> None:
        raise StoreUnavailableError(ResultCode.STORE_UNAVAILABLE, "status 503")

    reader.node._watch._read_once = turned_away
    system.publish(3, RouteOptions("shop"))
    # The wait that was under way brings this one; the next does not begin.
    await system.until_configured(3)
    await until(lambda: reader.node.sync.store_away)
    system.publish(4, RouteOptions("shop"))
    await asyncio.wait_for(system.until_configured(4), 5.0)


async def test_reader_that_was_away_is_introduced_to_a_second_time(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    await calm_system(system, 3)
    reader = next(m for m in system.machines if not m.node._watch._readers.to_ask())
    asked = []
    ask = reader.node.sync.answer

    async def deaf_once(exchange: object) -> None:
        asked.append(exchange)
        if len(asked) == 1:
            exchange.abort()  # type: ignore[attr-defined]
            return
        await ask(exchange)  # type: ignore[arg-type]

    for machine in system.machines:
        if machine is not reader:
            for task in machine.node._tasks:
                task.cancel()
    monkeypatch.setattr(reader.node.sync, "answer", deaf_once)
    # Of another data centre, so that it does not ask this reader for the configuration.
    await system.add("shop", data_centre="two")
    await until(lambda: len(reader.node.directory) == 4)
    assert len(asked) >= 2


async def test_common_start_costs_most_nodes_one_call(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Twenty nodes start at once where nobody is registered; two read and tell the others."""
    monkeypatch.setattr(registration, "EARLY_READ_SECONDS", 0.5)
    monkeypatch.setattr(registration, "TOLD_SECONDS", 30.0)
    monkeypatch.setattr(registration, "LATE_SECONDS", 30.0)
    system.readers_per_data_centre = 1
    system.first_start = True
    await asyncio.gather(*(system.add("shop", announced=False) for _ in range(20)))
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    await until(lambda: all(len(m.node.directory) == 20 for m in system.machines))
    lists = [line for line in system.log.named("store_called") if line["topic"] == "keyed.nodes"]
    assert [line["call"] for line in lists].count("newest") <= 2
    assert [line["call"] for line in lists].count("put") == 20


async def test_node_that_nobody_tells_reads_the_list_and_introduces_itself(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(registration, "EARLY_READ_SECONDS", 0.1)
    monkeypatch.setattr(registration, "TOLD_SECONDS", 0.1)
    system.readers_per_data_centre = 1
    await system.add("shop")
    await until(lambda: bool(system.log.named("registered")))
    system.first_start = True
    await system.add("shop")
    await until(lambda: all(len(m.node.directory) == 2 for m in system.machines))
