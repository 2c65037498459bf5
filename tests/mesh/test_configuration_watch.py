from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.mesh import configuration_watch
from hoisthook.mesh import reader_polls
from hoisthook.traffic import configuration_freshness
from standin.mesh_store import Outage
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from standin.mesh_system import MeshSystem

TOPIC = "keyed.op"
LONG_SECONDS = 60.0


@pytest.fixture(autouse=True)
def long_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent waits for changes and checks from ending, so that calls can be counted."""
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(configuration_freshness, "CHECK_SHARE", LONG_SECONDS)
    monkeypatch.setattr(configuration_freshness, "STALE_SHARE", LONG_SECONDS)


async def test_pending_wait_delivers_a_change(system: MeshSystem) -> None:
    await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    await until(lambda: system.store.calls.count("log-read") >= 1)
    before = len(system.store.calls)
    system.publish(2, RouteOptions("shop"))
    await system.until_configured(2)
    assert len(system.store.calls) <= before + 1


async def test_changes_in_quick_succession_cost_few_calls(system: MeshSystem) -> None:
    await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    before = len(system.store.calls)
    started_at = asyncio.get_running_loop().time()
    for version in range(2, 22):
        system.publish(version, RouteOptions("shop"))
        await asyncio.sleep(0.01)
    await system.until_configured(21)
    elapsed_seconds = asyncio.get_running_loop().time() - started_at
    # One call per pause, however slow the machine is, and one in progress at either end.
    assert (
        len(system.store.calls) - before <= 2 + elapsed_seconds / configuration_watch.SETTLE_SECONDS
    )


async def test_older_version_is_not_applied(system: MeshSystem) -> None:
    machine = await system.add("shop")
    system.publish(5, RouteOptions("shop"))
    await system.until_configured(5)
    system.publish(4, RouteOptions("other"))
    system.publish(6, RouteOptions("shop"))
    await system.until_configured(6)
    applied = [line["version"] for line in system.log.named("configuration_taken")]
    assert applied == [5, 6]
    assert machine.node.configuration.version == 6


async def test_unreadable_record_is_logged_and_not_applied_in_part(
    system: MeshSystem,
) -> None:
    machine = await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    system.store.put(TOPIC, "config", b'{"version":2,"resources":[{"type":"routes"}]}')
    await until(lambda: system.log.named("configuration_unreadable"))
    assert machine.node.configuration.version == 1


async def test_unresponsive_store_is_read_soon_after_it_recovers(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", 0.05)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", 0.05)
    await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    system.store.outage = Outage.SILENT
    await until(lambda: system.log.named("store_lost"))
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", 60.0)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", 60.0)
    # Reads that began during the outage stay unanswered, as the store's specification says.
    reads = system.store.calls.count("log-read")
    await until(lambda: system.store.calls.count("log-read") > reads)
    system.store.outage = Outage.NONE
    system.publish(2, RouteOptions("shop"))
    await asyncio.wait_for(system.until_configured(2), 3.0)
    assert system.log.named("store_regained")


async def test_deleted_history_is_replaced_by_the_newest_record(
    system: MeshSystem,
) -> None:
    machine = await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    machine.node._watch._offset = 0
    system.publish(2, RouteOptions("shop"))
    system.store.forget(TOPIC)
    await system.until_configured(2)


async def test_node_rejected_by_the_store_gets_the_configuration_from_peers(
    system: MeshSystem,
) -> None:
    first = await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    system.store.outage = Outage.BUSY
    late = await system.add("front")
    late.node.directory.merge([first.node.directory.me], "test")
    await asyncio.wait_for(system.until_configured(1), 3.0)
    applied = system.log.named("configuration_taken")
    assert applied[-1]["source"] == "peer"


async def test_node_without_peers_gets_the_configuration_after_the_first_hop(
    system: MeshSystem,
) -> None:
    ingress = await system.add("front")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    system.store.outage = Outage.BUSY
    server = await system.add("shop")
    # On the platform, the port for peers is the same on all instances.
    server.node.sync.peer_port = ingress.node.peers_address[1]
    ingress.node.directory.merge([server.node.directory.me], "test")
    # Without a configuration the server's node cannot read its health, and admits nothing yet.
    status, headers, _ = await system.call(ingress)
    assert status == 503
    assert float(headers[b"retry-after"]) < 0.1
    await asyncio.wait_for(system.until_configured(1), 3.0)
    status, _, _ = await system.call(ingress)
    assert status == 200


async def test_node_behind_a_peer_polls_it_although_the_store_seems_available(
    system: MeshSystem,
) -> None:
    ahead = await system.add("front")
    behind = await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    behind.node.sync.peer_port = ahead.node.peers_address[1]
    # Its wait for changes never ends, as on a connection that an outage has left without an answer.
    for task in behind.node._tasks:
        task.cancel()
    system.publish(2, RouteOptions("shop"))
    await until(lambda: ahead.node.configuration.version == 2)
    await system.call(ahead)
    await asyncio.wait_for(system.until_configured(2), 3.0)
    assert system.log.named("configuration_behind")


async def test_nodes_find_each_other_through_the_store(system: MeshSystem) -> None:
    first = await system.add("front")
    second = await system.add("shop")
    await until(lambda: len(first.node.directory) == 2 and len(second.node.directory) == 2)


async def test_node_that_registered_before_writes_nothing_again(system: MeshSystem) -> None:
    machine = await system.add("shop")
    await until(lambda: system.log.named("registered"))
    writes = system.store.calls.count("log-append")
    await machine.node._registration._register()
    assert system.store.calls.count("log-append") == writes


async def test_registration_survives_a_lost_answer(system: MeshSystem) -> None:
    system.store.outage = Outage.ANSWER_LOST
    machine = await system.add("shop")
    await until(lambda: system.log.named("registration_delayed"))
    system.store.outage = Outage.NONE
    other = await system.add("front")
    await until(lambda: len(other.node.directory) == 2)
    assert machine.node.directory.me in other.node.directory.peers()


async def test_failed_background_task_is_logged_and_restarted(
    system: MeshSystem,
) -> None:
    machine = await system.add("shop")
    failures = iter([ValueError("broken")])

    async def fails_once() -> None:
        for failure in failures:
            raise failure
        await asyncio.Event().wait()

    machine.node._run(fails_once)
    await until(lambda: system.log.named("task_failed"))
    assert "broken" in str(system.log.named("task_failed")[0]["reason"])


async def test_unreadable_configuration_is_requested_with_pauses(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    system.readers_per_data_centre = 1
    for _ in range(3):
        await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    followers = [m for m in system.machines if m.node._watch._readers.poll_targets()]
    for machine in followers:
        monkeypatch.setattr(machine.node.sync._exchange._decode, "assemble", lambda parts: None)
    monkeypatch.setattr(reader_polls, "POLL_HOLD_SECONDS", LONG_SECONDS)
    system.publish(2, RouteOptions("shop"))
    # Each follower logs one event for the delta and one for the full configuration.
    await until(lambda: len(system.log.named("configuration_misfit")) >= 2 * len(followers))
    await asyncio.sleep(0.2)
    assert len(system.log.named("configuration_misfit")) == 2 * len(followers)
