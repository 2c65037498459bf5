from __future__ import annotations

import asyncio

from standin.deployment import Deployment
from standin.mesh_cluster import MeshCluster


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
