from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standin import soak_repeats
from standin.deployment import Deployment
from standin.mesh_cluster import MeshCluster
from standin.soak_repeats import RejectingService

if TYPE_CHECKING:
    import pytest

    from standin.mesh_cluster import MeshPlace

READY_SECONDS = 30.0


async def test_start_that_was_cancelled_does_not_keep_a_place_empty() -> None:
    """The soak ends its killing between two starts: the place must get a node all the same."""
    cluster = MeshCluster(Deployment("cluster", ("one",), {"shop": 1}, slots=1))
    await cluster.start()
    try:
        place = cluster.places[0]
        await cluster.kill(place)
        start = asyncio.ensure_future(cluster.start_node(place))
        while not place.is_starting:
            await asyncio.sleep(0)
        start.cancel()
        await asyncio.wait([start])
        assert start.cancelled()
        await cluster.start_node(place)
        assert place.process is not None
        assert place.process.returncode is None
        await cluster.until_ready(place)
    finally:
        await cluster.close()


async def test_series_of_kills_that_ends_amid_a_kill_leaves_no_place_empty(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that was killed, not waited for, and so taken for running."""
    monkeypatch.setattr(soak_repeats, "KILL_SECONDS", 0.0)
    cluster = MeshCluster(Deployment("cluster", ("one",), {"shop": 2}, slots=1))
    await cluster.start()
    kill, begun = cluster.kill, asyncio.Event()

    async def told(place: MeshPlace) -> None:
        begun.set()
        await kill(place)

    monkeypatch.setattr(cluster, "kill", told)
    service = RejectingService(cluster, cluster.start_node, 1)
    try:
        service.start()
        await begun.wait()
        await service.stop()
        async with asyncio.timeout(READY_SECONDS):
            for place in cluster.places:
                await cluster.until_ready(place)
    finally:
        await cluster.close()
