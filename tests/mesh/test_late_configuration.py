"""A confirmed change is in force on all running nodes in time, whatever connections go silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.experiment.virtual_loop import run_virtually
from hoisthook.mesh.store_readers import SPARE_READERS_FACTOR
from standin.configuration_fleet import APPLY_SECONDS
from standin.configuration_fleet import STORE_ADDRESS
from standin.configuration_fleet import ConfigurationFleet
from standin.mesh_store import Outage

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from standin.configuration_fleet import FleetExchange
    from standin.configuration_fleet import FleetNode

    Disturbance = Callable[[ConfigurationFleet], Awaitable[Iterable[FleetNode]]]

# After connections go silent, machines count as undisturbed again after this time.
STABLE_SECONDS = 3.0
SEEDS = range(8)
FROZEN_SHARE = 0.3
FROZEN_SECONDS = 8.0
LOSS = 0.025
# Longest wait of the test for a change, on virtual time.
PATIENCE_SECONDS = 30.0


def delays(data_centres: int, nodes: int, readers: int, disturb: Disturbance) -> dict[int, float]:
    """Return by seed how long a change takes until it is in force on the nodes that run."""
    delay_by_seed = {}

    async def play(seed: int) -> None:
        fleet = ConfigurationFleet(data_centres, nodes, readers, seed)
        await fleet.start()
        await asyncio.sleep(5.0)
        running = list(await disturb(fleet))
        fleet.publish(2)
        await asyncio.wait_for(fleet.until_in_force(2, running), PATIENCE_SECONDS)
        delay_by_seed[seed] = round(fleet.delay(2, running), 2)
        await fleet.close()

    for seed in SEEDS:
        run_virtually(play(seed))
    return delay_by_seed


def late(delay_by_seed: dict[int, float]) -> dict[int, float]:
    """Return the delays above the platform's bound."""
    return {seed: delay for seed, delay in delay_by_seed.items() if delay > APPLY_SECONDS}


async def silence(fleet: ConfigurationFleet) -> list[FleetNode]:
    """Have all open connections go silent."""
    fleet.network.silence_connections()
    await asyncio.sleep(STABLE_SECONDS)
    return fleet.nodes


async def freeze_readers(fleet: ConfigurationFleet) -> list[FleetNode]:
    """Freeze the readers of each data centre and some nodes more; return the other nodes."""
    running = []
    for order in fleet.nodes_by_data_centre().values():
        frozen = max(2, round(FROZEN_SHARE * len(order)))
        for node in order[:frozen]:
            fleet.network.freeze(node.peer.node, FROZEN_SECONDS)
        running.extend(order[frozen:])
    await asyncio.sleep(0.4)
    return running


async def silence_then_freeze(fleet: ConfigurationFleet) -> list[FleetNode]:
    """Do both, with packets lost on the links of one data centre."""
    lossy = next(iter(fleet.nodes_by_data_centre().values()))
    fleet.network.loss_by_host.update((node.peer.node, LOSS) for node in lossy)
    await silence(fleet)
    return await freeze_readers(fleet)


@pytest.mark.parametrize("readers", [1, 2, 4])
def test_change_is_in_force_in_time_after_connections_went_silent(readers: int) -> None:
    assert late(delays(1, 6, readers, silence)) == {}


@pytest.mark.parametrize("nodes", [6, 22, 60])
def test_change_is_in_force_in_time_while_readers_are_frozen(nodes: int) -> None:
    assert late(delays(1, nodes, 2, freeze_readers)) == {}


def test_change_is_in_force_in_time_with_frozen_readers_after_silence() -> None:
    assert late(delays(4, 22, 2, silence_then_freeze)) == {}


@pytest.mark.parametrize("outage", [Outage.BUSY, Outage.SILENT])
def test_few_nodes_call_a_store_that_is_away_for_long(outage: Outage) -> None:
    callers: set[str] = set()

    async def main() -> None:
        fleet = ConfigurationFleet(1, 60, 2, seed=1)
        await fleet.start()
        await asyncio.sleep(5.0)
        serve = fleet.network.handler_by_address[STORE_ADDRESS]

        async def serve_and_record(exchange: FleetExchange) -> None:
            callers.add(exchange.peer[0])
            await serve(exchange)

        fleet.network.handler_by_address[STORE_ADDRESS] = serve_and_record
        fleet.store.outage = outage
        await asyncio.sleep(10.0)
        await fleet.close()

    run_virtually(main())
    # Two readers and those that take their place, see `StoreReaders`.
    assert len(callers) <= 2 * SPARE_READERS_FACTOR


def test_confirmations_cost_as_few_calls_however_many_nodes_poll() -> None:
    calls: dict[int, int] = {}

    async def count(nodes: int) -> None:
        fleet = ConfigurationFleet(1, nodes, 2, seed=1)
        await fleet.start()
        await asyncio.sleep(5.0)
        before = len(fleet.store.calls)
        await asyncio.sleep(20.0)
        calls[nodes] = len(fleet.store.calls) - before
        assert fleet.log.named("configuration_stale") == []
        await fleet.close()

    for nodes in (4, 100):
        run_virtually(count(nodes))
    # Two readers that each verify by themselves would make 50 calls.
    assert max(calls.values()) <= 36
