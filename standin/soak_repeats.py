"""A service of the soak that turns work away while nodes are killed in series, and its repeats."""

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
    from standin.mesh_cluster import MeshPlace
    from standin.soak_load import Findings
    from standin.soak_load import SoakLoad

SERVICE = "shop"
REJECTING_SECONDS = 0.2
KILL_SECONDS = 1.2
KILLED_SHARE = 0.5


class RejectingService:
    """Has a service turn away most of its work, and kills half of the nodes again and again.

    Parameters
    ----------
    cluster : MeshCluster
        What is befallen.
    start_again : callable
        Starts the node of a place that has none.
    seed : int
        Draws apart from the soak's other draws.
    """

    def __init__(
        self, cluster: MeshCluster, start_again: Callable[[MeshPlace], Awaitable[None]], seed: int
    ) -> None:
        self._cluster = cluster
        self._start_again = start_again
        self._random = random.Random(seed)
        self._is_stopping = False
        self._rejecting: asyncio.Task[None] | None = None
        self._killing: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin."""
        loop = asyncio.get_running_loop()
        self._rejecting = loop.create_task(self._reject())
        self._killing = loop.create_task(self._kill_in_series())

    async def stop(self) -> None:
        """End; every node runs again.

        A round of kills is played to its end: a node that is killed and not waited for would be
        taken for running, and not be started again.
        """
        assert self._rejecting is not None
        assert self._killing is not None
        self._is_stopping = True
        self._rejecting.cancel()
        await asyncio.gather(self._rejecting, return_exceptions=True)
        await self._killing

    async def _reject(self) -> None:
        """Let two of three backend servers turn work away at any time."""
        shops = [place for place in self._cluster.places if place.service == SERVICE]
        while True:
            sound = self._random.choice(shops)
            for place in shops:
                place.backend.fault = Fault.NONE if place is sound else Fault.SHED
            await asyncio.sleep(REJECTING_SECONDS)

    async def _kill_in_series(self) -> None:
        places = self._cluster.places
        while not self._is_stopping:
            await asyncio.sleep(KILL_SECONDS)
            killed = self._random.sample(places, round(KILLED_SHARE * len(places)))
            with contextlib.suppress(ProcessLookupError):
                await asyncio.gather(*(self._cluster.kill(place) for place in killed))
            for place in killed:
                await self._start_again(place)


def check_repeats(cluster: MeshCluster, load: SoakLoad, findings: Findings) -> None:
    """Note each service that got more arrivals beyond the first in some window than allowed."""
    ledger = ArrivalLedger()
    for service, moment in load.requested:
        ledger.requested(ServiceName(service), moment)
    arrivals = sorted(
        (moment, place.service, arrival.request_id)
        for place in cluster.places
        for arrival, moment in zip(place.backend.arrivals, place.backend.arrival_times, strict=True)
    )
    for moment, service, request in arrivals:
        ledger.arrived(ServiceName(service), RequestId(request), moment, by_repeat=False)
    allowed = MeshRetrySettings()
    for service in cluster.deployment.count_by_service:
        fullest = ledger.fullest(
            ServiceName(service),
            ratio=allowed.ratio,
            window=allowed.window_seconds,
            extra=allowed.extra,
        )
        findings.repeats = max(findings.repeats, fullest.beyond)
        if fullest.beyond > fullest.allowed:
            told = f"{service}: {fullest.beyond} repeats in a window, {fullest.allowed:.0f} allowed"
            findings.broken.append(told)
