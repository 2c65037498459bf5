"""Soak load in which addresses of backend servers go to servers of another service and back."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoisthook.exceptions import UnreachableError
from hoisthook.identity import parse_address
from standin.mesh_backend import MeshBackendStandin
from standin.mesh_cluster import REUSE_AFTER_SECONDS
from standin.soak_series import KillingSeries

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from standin.mesh_cluster import MeshCluster
    from standin.mesh_cluster import MeshInstance
    from standin.soak_load import SoakResults

PAUSE_SECONDS = 1.3
MAX_MORE_SECONDS = 0.8
FOREIGN_SERVICE = "mint"
FOREIGN_SECONDS = 3.0
MAX_DELAY_SECONDS = 3.0
MAX_KILLS = 2
FOREIGN_HEARTBEAT_SECONDS = 0.5
SILENT_SHARE = 0.4
KILL_PAUSE_SECONDS = 0.3
# Number of a heartbeat that no server of the soak reaches by itself.
LATE_SEQUENCE = 10_000


class ReusedAddresses(KillingSeries):
    """Ends one backend server after the other and gives its address to another service for a while.

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
        super().__init__(cluster, restart, seed, results, PAUSE_SECONDS, KILL_PAUSE_SECONDS)

    def _next(self) -> Coroutine[object, object, None] | None:
        instance = self._random.choice(self._cluster.instances)
        if instance.state != "ready" or instance.backend.crashed.is_set():
            return None
        instance.state = "gone"
        return self._reuse(instance)

    async def _reuse(self, instance: MeshInstance) -> None:
        """Have a server end, another service use its address, and the first service come back."""
        backend = instance.backend
        self._incarnations += 1
        number = self._incarnations
        late = asyncio.create_task(self._send_late(instance, backend.instance))
        kills = [
            asyncio.create_task(self._kill(instance, self._random.random() * MAX_DELAY_SECONDS))
            for _ in range(self._random.randint(0, MAX_KILLS))
        ]
        backend.crash()
        await asyncio.sleep(REUSE_AFTER_SECONDS + self._random.random() * MAX_MORE_SECONDS)
        service, backend.service = backend.service, FOREIGN_SERVICE
        ran_before = len(backend.runs)
        await backend.start_as(f"{instance.name}-foreign-{number}")
        self._results.faults["reused"] += 1
        await self._serve_as_foreign(instance)
        ran = len(backend.runs) - ran_before
        if ran:
            self._results.violations.append(
                f"{instance.name}: {ran} requests ran at {backend.instance} of another service"
            )
        backend.crash()
        await asyncio.sleep(REUSE_AFTER_SECONDS)
        backend.service = service
        await asyncio.gather(late, *kills)
        await backend.start_as(f"{instance.name}-back-{number}")
        instance.state = "ready"

    async def _serve_as_foreign(self, instance: MeshInstance) -> None:
        """Keep the server of the other service up; it may send heartbeats, late or none."""
        is_silent = self._random.random() < SILENT_SHARE
        delay = self._random.random() * MAX_DELAY_SECONDS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FOREIGN_SECONDS):
                await asyncio.sleep(FOREIGN_SECONDS if is_silent else delay)
                while True:
                    await self._send(instance.backend, instance)
                    await asyncio.sleep(FOREIGN_HEARTBEAT_SECONDS)

    async def _send_late(self, instance: MeshInstance, former: str) -> None:
        """Deliver a heartbeat that the former server sent before it ended."""
        state = self._random.choice(["ready", "draining"])
        await asyncio.sleep(self._random.random() * (REUSE_AFTER_SECONDS + MAX_DELAY_SECONDS))
        sender = MeshBackendStandin(instance.service, former)
        await self._send(sender, instance, state=state, sequence=LATE_SEQUENCE)
        sender.close()

    async def _send(
        self,
        sender: MeshBackendStandin,
        instance: MeshInstance,
        *,
        state: str = "ready",
        sequence: int | None = None,
    ) -> None:
        address = parse_address(instance.announcements)
        with contextlib.suppress(UnreachableError, AssertionError):
            await sender.send_heartbeat(address, state=state, sequence=sequence)
