from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standin import soak_repeats
from standin.deployment import Deployment
from standin.mesh_cluster import MeshCluster
from standin.soak_repeats import RejectingService

if TYPE_CHECKING:
    import pytest

    from standin.mesh_cluster import MeshInstance

READY_SECONDS = 30.0


async def test_node_can_be_started_after_its_start_was_cancelled() -> None:
    """Guards against a node that is never started again after its start was cancelled.

    The soak test may cancel its kill loop while a node is being started.
    """
    cluster = MeshCluster(Deployment("cluster", ("one",), {"shop": 1}, slots=1))
    await cluster.start()
    try:
        instance = cluster.instances[0]
        await cluster.kill(instance)
        start = asyncio.ensure_future(cluster.start_node(instance))
        while not instance.is_starting:
            await asyncio.sleep(0)
        start.cancel()
        await asyncio.wait([start])
        assert start.cancelled()
        await cluster.start_node(instance)
        assert instance.process is not None
        assert instance.process.returncode is None
        await cluster.wait_until_ready(instance)
    finally:
        await cluster.close()


async def test_every_node_runs_after_repeated_kills_stop_amid_a_kill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a killed node that is taken for running since its exit was not awaited."""
    monkeypatch.setattr(soak_repeats, "KILL_SECONDS", 0.0)
    cluster = MeshCluster(Deployment("cluster", ("one",), {"shop": 2}, slots=1))
    await cluster.start()
    kill, kill_begun = cluster.kill, asyncio.Event()

    async def notify_and_kill(instance: MeshInstance) -> None:
        kill_begun.set()
        await kill(instance)

    monkeypatch.setattr(cluster, "kill", notify_and_kill)
    service = RejectingService(cluster, cluster.start_node, 1)
    try:
        service.start()
        await kill_begun.wait()
        await service.stop()
        async with asyncio.timeout(READY_SECONDS):
            for instance in cluster.instances:
                await cluster.wait_until_ready(instance)
    finally:
        await cluster.close()
