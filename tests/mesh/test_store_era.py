"""A store that has regressed to an older copy does not revert what was in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from hoisthook_platform.log_store import LogStore

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.identity import DataCentre
from hoisthook.mesh import configuration_watch
from hoisthook.mesh import registration
from hoisthook.traffic import evacuation_tracker
from standin import mesh_store
from standin.mesh_store import StoreStandin
from standin.mesh_system import NODES_TOPIC
from standin.published_configuration import RouteOptions
from standin.published_configuration import TeamOptions
from tests.waiting import until

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from standin.mesh_system import MeshSystem

ONE = DataCentre("one")
TWO = DataCentre("two")
THREE = DataCentre("three")
REWRITE_GRACE_SECONDS = 0.8
LONG_GRACE_SECONDS = 4.0


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", 0.2)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", 0.4)
    monkeypatch.setattr(evacuation_tracker, "REWRITE_GRACE_SECONDS", REWRITE_GRACE_SECONDS)
    monkeypatch.setattr(registration, "REREGISTRATION_SECONDS", 0.2)


async def start_system(system: MeshSystem, nodes: int = 4) -> None:
    system.store.era = 1
    system.readers_per_data_centre = 2
    for _ in range(nodes):
        await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)


async def until_evacuated(system: MeshSystem, *data_centres: DataCentre) -> None:
    wanted = frozenset(data_centres)
    await until(lambda: all(m.node.evacuations.data_centres == wanted for m in system.machines))


async def until_era(system: MeshSystem, era: int) -> None:
    await until(lambda: all(m.node.era.current == era for m in system.machines))


def evacuation_changes(system: MeshSystem) -> list[object]:
    return [line["data_centres"] for line in system.log.named("evacuations_changed")]


async def test_an_evacuation_stays_in_force(system: MeshSystem) -> None:
    await start_system(system)
    system.store.copy()
    system.evacuate("two")
    await until_evacuated(system, TWO)
    changes = len(evacuation_changes(system))
    system.store.regress()
    await until_era(system, 2)
    system.evacuate("two")
    await asyncio.sleep(2 * REWRITE_GRACE_SECONDS)
    await until_evacuated(system, TWO)
    assert len(evacuation_changes(system)) == changes


async def test_listing_holds_after_the_grace_period_at_the_same_position(
    system: MeshSystem,
) -> None:
    """Guards against a kept evacuation that no record ends while operators write nothing."""
    await start_system(system)
    system.store.copy()
    system.evacuate("two")
    await until_evacuated(system, TWO)
    system.store.regress()
    await until_era(system, 2)
    await until_evacuated(system)


async def test_listing_holds_after_the_grace_period_also_with_a_new_evacuation(
    system: MeshSystem,
) -> None:
    await start_system(system)
    system.store.copy()
    system.evacuate("two")
    await until_evacuated(system, TWO)
    system.store.regress()
    system.evacuate("three")
    await until_evacuated(system, THREE)


async def test_node_that_starts_in_the_grace_period_takes_no_evacuation_back(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the listing of a node that cannot know what the store has lost."""
    monkeypatch.setattr(evacuation_tracker, "REWRITE_GRACE_SECONDS", LONG_GRACE_SECONDS)
    await start_system(system)
    system.store.copy()
    system.evacuate("two")
    await until_evacuated(system, TWO)
    system.store.regress()
    await until_era(system, 2)
    changes = len(evacuation_changes(system))
    started = await system.add("shop")
    await until(lambda: started.node.evacuations.revision >= 0)
    assert not started.node._watch._readers.poll_targets()
    # Each node polls it meanwhile.
    await asyncio.sleep(LONG_GRACE_SECONDS / 2)
    assert evacuation_changes(system)[changes:] == [["two"]]
    system.evacuate("two")
    await asyncio.sleep(LONG_GRACE_SECONDS)
    await until_evacuated(system, TWO)
    assert evacuation_changes(system)[changes:] == [["two"]]


async def test_node_that_replaces_a_reader_in_the_grace_period_takes_no_evacuation_back(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the listing of a node that knows evacuations from its peers only."""
    monkeypatch.setattr(evacuation_tracker, "REWRITE_GRACE_SECONDS", LONG_GRACE_SECONDS)
    await start_system(system)
    system.store.copy()
    system.evacuate("two")
    await until_evacuated(system, TWO)
    readers = [m for m in system.machines if not m.node._watch._readers.poll_targets()]
    system.store.regress()
    await until_era(system, 2)
    changes = len(evacuation_changes(system))
    for machine in readers:
        machine.crash()
        system.machines.remove(machine)
    calls = len(system.store.calls)
    await until(lambda: "log-newest" in system.store.calls[calls:])
    # A record of another kind gives the view a newer position.
    system.publish(2, RouteOptions("shop"))
    await system.until_configured(2)
    await asyncio.sleep(LONG_GRACE_SECONDS / 4)
    assert evacuation_changes(system)[changes:] == []
    system.evacuate("two")
    await asyncio.sleep(LONG_GRACE_SECONDS)
    await until_evacuated(system, TWO)
    assert [] not in evacuation_changes(system)[changes:]


async def test_a_restoration_is_not_undone(system: MeshSystem) -> None:
    await start_system(system)
    system.evacuate("two")
    await until_evacuated(system, TWO)
    system.store.copy()
    system.restore("two")
    await until_evacuated(system)
    changes = len(evacuation_changes(system))
    system.store.regress()
    await until_era(system, 2)
    system.restore("two")
    await asyncio.sleep(2 * REWRITE_GRACE_SECONDS)
    await until_evacuated(system)
    assert len(evacuation_changes(system)) == changes


async def test_changes_continue_from_reused_offsets_after_two_regressions(
    system: MeshSystem,
) -> None:
    await start_system(system)
    system.store.copy()
    for version in range(2, 9):
        system.publish(version, RouteOptions("shop"))
    await system.until_configured(8)
    system.store.regress()
    system.store.regress()
    await until_era(system, 3)
    assert all(m.node.configuration.version == 8 for m in system.machines)
    system.publish(9, RouteOptions("shop"))
    await system.until_configured(9)
    system.evacuate("two")
    await until_evacuated(system, TWO)


async def test_revoked_key_stays_revoked(system: MeshSystem) -> None:
    await start_system(system)
    held = TeamOptions("port", ("old", "new"))
    system.publish(2, RouteOptions("shop"), teams=[held])
    await system.until_configured(2)
    system.store.copy()
    system.publish(3, RouteOptions("shop"), teams=[TeamOptions("port", ("new",))])
    await system.until_configured(3)
    system.store.regress()
    await until_era(system, 2)
    for machine in system.machines:
        assert (await system.call(machine, key="old"))[0] == 401
        assert (await system.call(machine, key="new"))[0] == 200


async def test_nodes_that_the_copy_lacks_register_again(system: MeshSystem) -> None:
    system.store.copy()
    await start_system(system)
    assert len(system.store.topic(NODES_TOPIC).newest()) == 4
    system.store.regress()
    await until_era(system, 2)
    await until(lambda: len(system.store.topic(NODES_TOPIC).newest()) == 4)


async def test_nodes_that_the_copy_holds_write_nothing(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only recent registrations may be missing; otherwise all nodes would write at once."""
    monkeypatch.setattr(registration, "COPY_AGE_SECONDS", 0.0)
    await start_system(system)
    system.store.copy()
    system.store.regress()
    await until_era(system, 2)
    before = system.store.calls.count("log-append")
    await asyncio.sleep(3 * registration.REREGISTRATION_SECONDS)
    assert system.store.calls.count("log-append") == before


async def test_paged_list_does_not_mix_eras(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against mixing pages if the store regresses between two pages of one list."""
    monkeypatch.setattr(mesh_store, "MAX_ITEMS", 2)
    system.store.era = 1
    for number in range(3):
        system.store.put("keyed.t", f"k{number}", b"before")
    system.store.copy()
    for number in range(3):
        system.store.put("keyed.t", f"k{number}", b"lost")
    pool = ClientPool()
    store = LogStore(system.store.address, pool)
    answer = StoreStandin._newest

    def page(self: StoreStandin, exchange: ServerExchange, fields: dict[str, list[str]]) -> None:
        answer(self, exchange, fields)
        if self.era == 1:
            self.regress()

    monkeypatch.setattr(StoreStandin, "_newest", page)
    found = await store.newest("keyed.t")
    pool.close()
    assert found.era == 2
    assert {record.key: record.value for record in found.records} == {
        "k0": b"before",
        "k1": b"before",
        "k2": b"before",
    }


async def test_node_connected_to_the_older_history_uses_the_state_of_its_peers(
    system: MeshSystem,
) -> None:
    await start_system(system)
    system.evacuate("two")
    await until_evacuated(system, TWO)
    stale_node = system.machines[0].node
    stale_node.era.update(2)
    await until(lambda: stale_node.sync.store_away)
    assert stale_node.evacuations.data_centres == frozenset({TWO})
    system.store.era = 2
    await until(lambda: not stale_node.sync.store_away)
    system.restore("two")
    await until_evacuated(system)
