"""Identifies the successor of a backend server that has exited, by when it answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from hoisthook.mesh.health_reader import HealthReader
    from hoisthook.mesh.service_evidence import ServiceEvidence

# A restarting backend server is away for a second or more.
PROBE_SECONDS = 0.1


class SuccessorProbe:
    """Reads the health of a backend server that accepts no connections until it answers.

    An incarnation that answers soon enough is known to be the successor of the previous one, and
    needs no announcement to get requests. The probe ends when an answer would show that no more.

    Parameters
    ----------
    health : HealthReader
        Reads the health, which names the incarnation.
    evidence : ServiceEvidence
        Knows until when an answer shows a successor.
    """

    def __init__(self, health: HealthReader, evidence: ServiceEvidence) -> None:
        self._health = health
        self._evidence = evidence
        self._tasks = BackgroundTasks()
        self._is_running = False

    def start(self) -> None:
        """Start probing, unless the probe runs already or an answer would show nothing."""
        if not self._is_running and self._evidence.succession_seconds > 0:
            self._is_running = True
            self._tasks.start(self._run())

    def close(self) -> None:
        """Cancel the probe."""
        self._tasks.close()

    async def _run(self) -> None:
        try:
            await asyncio.sleep(PROBE_SECONDS)
            while self._evidence.succession_seconds > 0 and not await self._health.read():
                await asyncio.sleep(PROBE_SECONDS)
        finally:
            self._is_running = False
