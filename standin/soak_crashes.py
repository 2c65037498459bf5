"""Soak load whose request crashes every backend server that starts to execute it."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from standin.soak_load import CRASHING_PATH

if TYPE_CHECKING:
    from standin.mesh_cluster import MeshCluster
    from standin.mesh_cluster import MeshInstance
    from standin.soak_load import SoakLoad
    from standin.soak_load import SoakResults

SERVICE = "shop"
# Time until a crashed backend server is started again.
RESTART_DELAY_SECONDS = 1.0
# Longest time after the third crash until all nodes have been notified of it, and how many
# requests may still reach a backend server after that.
NOTIFICATION_SECONDS = 3.0
MAX_LATE_ARRIVALS = 3
CRASHES_BEFORE_REFUSAL = 3


class CrashingCaller:
    """Sends a crashing request repeatedly, and restarts the backend servers that it crashes.

    Parameters
    ----------
    cluster : MeshCluster
        The cluster under test.
    load : SoakLoad
        Sends the requests.
    seed : int
        Seeds the choice of nodes and delays, independently of the soak's other random choices.
    results : SoakResults
        Receives violated guarantees.
    """

    def __init__(
        self, cluster: MeshCluster, load: SoakLoad, seed: int, results: SoakResults
    ) -> None:
        self._cluster = cluster
        self._load = load
        self._random = random.Random(seed)
        self._results = results
        self._crash_times: list[float] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, work_seconds: float) -> None:
        """Start sending the request and restarting crashed backend servers.

        Parameters
        ----------
        work_seconds : float
            Service time of the other requests, in seconds.
        """
        loop = asyncio.get_running_loop()
        shops = [instance for instance in self._cluster.instances if instance.service == SERVICE]
        for instance in shops:
            instance.backend.crash_on(CRASHING_PATH.encode())
            instance.backend.work_seconds = work_seconds
        self._tasks = [
            loop.create_task(self._restart_after_crashes(instance)) for instance in shops
        ]
        self._tasks.append(loop.create_task(self._send_forever()))

    def stop(self) -> None:
        """Stop sending and restarting."""
        for task in self._tasks:
            task.cancel()

    def check(self) -> None:
        """Record a violation if requests that are known to crash servers still reached them."""
        arrived_at = [
            at
            for instance in self._cluster.instances
            for arrival, at in zip(
                instance.backend.arrivals, instance.backend.arrival_times, strict=True
            )
            if arrival.target == CRASHING_PATH.encode()
        ]
        self._results.faults["ended"] += len(self._crash_times)
        if len(self._crash_times) < CRASHES_BEFORE_REFUSAL:
            return
        notified_by = sorted(self._crash_times)[CRASHES_BEFORE_REFUSAL - 1] + NOTIFICATION_SECONDS
        late = [at for at in arrived_at if at > notified_by]
        if len(late) > MAX_LATE_ARRIVALS:
            message = f"crashing request arrived {len(late)} times after nodes were notified of it"
            self._results.violations.append(message)

    async def _restart_after_crashes(self, instance: MeshInstance) -> None:
        while True:
            await instance.backend.crashed.wait()
            self._crash_times.append(asyncio.get_running_loop().time())
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            await instance.backend.start_as(f"{instance.backend.instance}+")

    async def _send_forever(self) -> None:
        while True:
            instance = self._random.choice(self._cluster.instances)
            await self._load.send(instance, SERVICE, CRASHING_PATH)
            await asyncio.sleep(0.3 + 0.5 * self._random.random())
