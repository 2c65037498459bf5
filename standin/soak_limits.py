"""Soak load in which backend servers name limits and leave by their answers, and its checks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from standin.soak_series import DisturbanceSeries

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from standin.mesh_cluster import MeshCluster
    from standin.mesh_cluster import MeshInstance
    from standin.soak_load import SoakResults

LIMITS = (0.0, 0.5, 2.0, 5.4)
PAUSE_SECONDS = 0.5
# The platform's rule: this long after a limit was first named, the arrivals of any window stay
# within the limit times the factor, plus the extra requests.
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
FACTOR = 1.5
EXTRA = 5
# How long the limit is named after that.
LIMITED_SECONDS = 3.0
# Longest time after an answer has said that a server leaves during which requests may arrive.
DRAIN_SECONDS = 2.0
LEAVING_SECONDS = 3.5


class LimitingServers(DisturbanceSeries):
    """Has one backend server after the other name a limit, or leave and be replaced.

    Parameters
    ----------
    cluster : MeshCluster
        The cluster under test.
    seed : int
        Seeds the random choices, independently of the soak's other random choices.
    results : SoakResults
        Receives the violations.
    """

    def __init__(self, cluster: MeshCluster, seed: int, results: SoakResults) -> None:
        super().__init__(cluster, seed, results, PAUSE_SECONDS)
        self._busy: set[str] = set()

    def _next(self) -> Coroutine[object, object, None] | None:
        instance = self._random.choice(self._cluster.instances)
        step = self._random.choice([self._limit, self._leave])
        limit = self._random.choice(LIMITS)
        if instance.name in self._busy:
            return None
        return self._do(step, instance, limit)

    async def _do(
        self,
        step: Callable[[MeshInstance, float], Awaitable[None]],
        instance: MeshInstance,
        limit: float,
    ) -> None:
        self._busy.add(instance.name)
        await step(instance, limit)
        self._busy.discard(instance.name)

    async def _limit(self, instance: MeshInstance, limit: float) -> None:
        """Have a server name a limit, and check what arrives."""
        self._results.faults["limited"] += 1
        backend = instance.backend
        backend.rate_limit = b"%g" % limit
        await self._until_answered(instance)
        await asyncio.sleep(STABLE_SECONDS)
        since = time.monotonic()
        await asyncio.sleep(LIMITED_SECONDS)
        arrived = sum(1 for at in backend.arrival_times if since <= at)
        backend.rate_limit = None
        allowed = FACTOR * limit * WINDOW_SECONDS + EXTRA
        if arrived > allowed:
            self._results.violations.append(
                f"{instance.name}: {arrived} requests arrived in {LIMITED_SECONDS:g} s with a limit"
                f" of {limit:g} a second, {allowed:g} allowed"
            )

    async def _leave(self, instance: MeshInstance, _limit: float) -> None:
        """Have a server leave by its answers alone, check, and replace it."""
        self._results.faults["left"] += 1
        backend = instance.backend
        backend.leaving = True
        await self._until_answered(instance)
        told_at = time.monotonic()
        await asyncio.sleep(LEAVING_SECONDS)
        late = sum(1 for at in backend.arrival_times if at > told_at + DRAIN_SECONDS)
        if late:
            self._results.violations.append(
                f"{instance.name}: {late} requests arrived too late after an answer said that it"
                " leaves"
            )
        self._incarnations += 1
        backend.instance = f"{instance.name}-{self._incarnations}"
        backend.restart(None)
        backend.leaving = False

    async def _until_answered(self, instance: MeshInstance) -> None:
        """Wait until an answer has been given, at most for a while: it may be down or unused."""
        before = instance.backend.answered
        deadline = time.monotonic() + STABLE_SECONDS
        while instance.backend.answered == before and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
