"""Soak load in which backend servers deregister, heartbeats arrive late and nodes are killed."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from hoisthook.exceptions import UnreachableError
from hoisthook.identity import parse_address
from standin.soak_series import KillingSeries

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from standin.mesh_cluster import MeshCluster
    from standin.mesh_cluster import MeshInstance
    from standin.soak_load import SoakResults

PAUSE_SECONDS = 0.7
# Longest time after the acknowledgement of a deregistration during which requests may arrive.
DRAIN_SECONDS = 2.0
SERVES_SECONDS = 7.0
# The platform's rules bind a node from this time after its start. A node that starts while the
# store is away cannot know of the deregistration yet and has only the health check to go by.
STABLE_SECONDS = 3.0
MAX_DELAY_SECONDS = 5.0
MAX_LATE_HEARTBEATS = 3
MAX_KILLS = 2
MAX_KILL_DELAY_SECONDS = 3.0
FALSE_HEALTH_SHARE = 0.3
# A server that is not acknowledged asks again before it leaves.
DEREGISTRATIONS = 3
OK = 200


class DepartingServers(KillingSeries):
    """Has one backend server after the other deregister, serve on and be replaced.

    Parameters
    ----------
    cluster : MeshCluster
        The cluster under test.
    restart : callable
        Starts the node of an instance if it does not run.
    seed : int
        Seeds the random choices, independently of the soak's other random choices.
    results : SoakResults
        Receives the violations.
    """

    def __init__(
        self,
        cluster: MeshCluster,
        restart: Callable[[MeshInstance], Awaitable[None]],
        seed: int,
        results: SoakResults,
    ) -> None:
        super().__init__(cluster, restart, seed, results, PAUSE_SECONDS, PAUSE_SECONDS)

    def _next(self) -> Coroutine[object, object, None] | None:
        instance = self._random.choice(self._cluster.instances)
        if instance.state != "ready":
            return None
        instance.state = "gone"
        return self._leave(instance)

    async def _leave(self, instance: MeshInstance) -> None:
        """Have a server deregister, check what arrives after that, and replace it."""
        backend = instance.backend
        late = [
            asyncio.create_task(self._send_late(instance, backend.next_sequence()))
            for _ in range(self._random.randint(1, MAX_LATE_HEARTBEATS))
        ]
        is_healthy = backend.healthy = self._random.random() < FALSE_HEALTH_SHARE
        kills = [
            self._random.random() * MAX_KILL_DELAY_SECONDS
            for _ in range(self._random.randint(0, MAX_KILLS))
        ]
        if await self._is_acknowledged(instance):
            self._results.faults["departed"] += 1
            acknowledged = time.monotonic()
            await asyncio.gather(*(self._kill(instance, delay) for delay in kills))
            binds_from = acknowledged + DRAIN_SECONDS
            if kills and is_healthy:
                binds_from = max(binds_from, time.monotonic() + STABLE_SECONDS)
            await asyncio.sleep(binds_from + SERVES_SECONDS - DRAIN_SECONDS - time.monotonic())
            arrived = [at for at in backend.arrival_times if at > binds_from]
            if arrived:
                self._results.violations.append(
                    f"{instance.name}: {len(arrived)} requests arrived too late after the"
                    f" deregistration of {backend.instance}"
                )
        await asyncio.gather(*late)
        self._incarnations += 1
        backend.instance = f"{instance.name}-departed-{self._incarnations}"
        backend.restart(None)
        backend.healthy = True
        instance.state = "ready"

    async def _is_acknowledged(self, instance: MeshInstance) -> bool:
        for _ in range(DEREGISTRATIONS):
            with contextlib.suppress(UnreachableError, AssertionError):
                address = parse_address(instance.announcements)
                if await instance.backend.deregister(address) == OK:
                    return True
            await asyncio.sleep(PAUSE_SECONDS)
        return False

    async def _send_late(self, instance: MeshInstance, sequence: int) -> None:
        """Deliver a heartbeat that was sent before the deregistration; a dead node loses it."""
        name = instance.backend.instance
        await asyncio.sleep(self._random.random() * MAX_DELAY_SECONDS)
        if instance.backend.instance == name:
            with contextlib.suppress(UnreachableError, AssertionError):
                await instance.backend.send_heartbeat(
                    parse_address(instance.announcements), sequence=sequence
                )
