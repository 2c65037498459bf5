"""A series of disturbances that a soak runs beside its random faults."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from standin.mesh_cluster import MeshCluster
    from standin.mesh_cluster import MeshInstance
    from standin.soak_load import SoakResults


class DisturbanceSeries:
    """Starts one disturbance after the other, which may overlap, until it is stopped.

    Parameters
    ----------
    cluster : MeshCluster
        The cluster under test.
    seed : int
        Seeds the random choices, independently of the soak's other random choices.
    results : SoakResults
        Receives the violations.
    pause_seconds : float
        Time from the start of one disturbance to that of the next.
    """

    def __init__(
        self, cluster: MeshCluster, seed: int, results: SoakResults, pause_seconds: float
    ) -> None:
        self._cluster = cluster
        self._random = random.Random(seed)
        self._results = results
        self._pause_seconds = pause_seconds
        self._is_stopping = False
        self._running: asyncio.Task[None] | None = None
        self._incarnations = 0

    def start(self) -> None:
        """Start the series."""
        self._running = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop once all disturbances in progress are over."""
        assert self._running is not None
        self._is_stopping = True
        await self._running

    def _next(self) -> Coroutine[object, object, None] | None:
        """Return the next disturbance, or None to skip a turn."""
        raise NotImplementedError

    async def _run(self) -> None:
        tasks: set[asyncio.Task[None]] = set()
        while not self._is_stopping:
            disturbance = self._next()
            if disturbance is not None:
                tasks.add(asyncio.get_running_loop().create_task(disturbance))
            await asyncio.sleep(self._pause_seconds)
        await asyncio.gather(*tasks)


class KillingSeries(DisturbanceSeries):
    """A series whose disturbances also kill nodes.

    Parameters
    ----------
    cluster, seed, results, pause_seconds
        As of `DisturbanceSeries`.
    restart : callable
        Starts the node of an instance if it does not run.
    down_seconds : float
        Time from the kill of a node to its start.
    """

    def __init__(
        self,
        cluster: MeshCluster,
        restart: Callable[[MeshInstance], Awaitable[None]],
        seed: int,
        results: SoakResults,
        pause_seconds: float,
        down_seconds: float,
    ) -> None:
        super().__init__(cluster, seed, results, pause_seconds)
        self._restart = restart
        self._down_seconds = down_seconds

    async def _kill(self, instance: MeshInstance, delay: float) -> None:
        await asyncio.sleep(delay)
        await self._cluster.kill(instance)
        await asyncio.sleep(self._down_seconds)
        await self._restart(instance)
