"""Soak load in which a service rejects requests while nodes are killed, and a check of repeats."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from hoisthook.experiment.arrival_ledger import ArrivalLedger
from hoisthook.identity import RequestId
from hoisthook.identity import ServiceName
from hoisthook.settings.mesh_settings import MeshRetrySettings
from standin.mesh_backend import Fault

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from standin.mesh_cluster import MeshCluster
    from standin.mesh_cluster import MeshInstance
    from standin.soak_load import SoakLoad
    from standin.soak_load import SoakResults

SERVICE = "shop"
REJECTING_SECONDS = 0.2
KILL_SECONDS = 1.2
KILLED_SHARE = 0.5


class RejectingService:
    """Has a service reject most of its requests, and kills half of the nodes repeatedly.

    Parameters
    ----------
    cluster : MeshCluster
        The cluster under test.
    restart_if_down : callable
        Starts the node of an instance unless it is running.
    seed : int
        Seeds the random choices, independently of the soak's other random choices.
    """

    def __init__(
        self,
        cluster: MeshCluster,
        restart_if_down: Callable[[MeshInstance], Awaitable[None]],
        seed: int,
    ) -> None:
        self._cluster = cluster
        self._restart_if_down = restart_if_down
        self._random = random.Random(seed)
        self._is_stopping = False
        self._rejecting: asyncio.Task[None] | None = None
        self._killing: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start rejecting requests and killing nodes."""
        loop = asyncio.get_running_loop()
        self._rejecting = loop.create_task(self._reject())
        self._killing = loop.create_task(self._kill_repeatedly())

    async def stop(self) -> None:
        """Stop; every node is running again afterwards.

        A round of kills is completed rather than cancelled: a node that was killed but whose exit
        was not awaited would be taken for running, and would not be started again.
        """
        assert self._rejecting is not None
        assert self._killing is not None
        self._is_stopping = True
        self._rejecting.cancel()
        await asyncio.gather(self._rejecting, return_exceptions=True)
        await self._killing

    async def _reject(self) -> None:
        """Let all but one of the service's backend servers reject requests at any time."""
        shops = [instance for instance in self._cluster.instances if instance.service == SERVICE]
        while True:
            accepting = self._random.choice(shops)
            for instance in shops:
                instance.backend.fault = Fault.NONE if instance is accepting else Fault.SHED
            await asyncio.sleep(REJECTING_SECONDS)

    async def _kill_repeatedly(self) -> None:
        instances = self._cluster.instances
        while not self._is_stopping:
            await asyncio.sleep(KILL_SECONDS)
            killed = self._random.sample(instances, round(KILLED_SHARE * len(instances)))
            with contextlib.suppress(ProcessLookupError):
                await asyncio.gather(*(self._cluster.kill(instance) for instance in killed))
            for instance in killed:
                await self._restart_if_down(instance)


def check_repeats(cluster: MeshCluster, load: SoakLoad, results: SoakResults) -> None:
    """Record each service whose repeats in some window exceeded the allowed number."""
    ledger = ArrivalLedger()
    for service, time in load.requested:
        ledger.requested(ServiceName(service), time)
    arrivals = sorted(
        (time, instance.service, arrival.request_id)
        for instance in cluster.instances
        for arrival, time in zip(
            instance.backend.arrivals, instance.backend.arrival_times, strict=True
        )
    )
    for time, service, request in arrivals:
        ledger.arrived(ServiceName(service), RequestId(request), time, by_repeat=False)
    allowed = MeshRetrySettings()
    for service in cluster.deployment.count_by_service:
        fullest = ledger.fullest(
            ServiceName(service),
            ratio=allowed.ratio,
            window=allowed.window_seconds,
            extra=allowed.extra,
        )
        results.repeats = max(results.repeats, fullest.beyond)
        if fullest.beyond > fullest.allowed:
            message = (
                f"{service}: {fullest.beyond} repeats in a window, {fullest.allowed:.0f} allowed"
            )
            results.violations.append(message)
