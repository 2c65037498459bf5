"""A confirmed change is in force on all running nodes in time, whatever connections go silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.experiment.virtual_loop import run_virtually
from standin.configuration_fleet import ConfigurationFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from standin.configuration_fleet import FleetNode

    Disturbance = Callable[[ConfigurationFleet], Awaitable[Iterable[FleetNode]]]

# The platform's bound: a change is in force this long after its acknowledgement.
APPLY_SECONDS = 2.0
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
