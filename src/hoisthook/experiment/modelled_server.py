"""A modelled backend server."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from hoisthook.experiment.load_pattern import DisruptionKind

if TYPE_CHECKING:
    import random

    from hoisthook.experiment.load_pattern import Disruption
    from hoisthook.experiment.load_pattern import RouteTraits
    from hoisthook.experiment.load_pattern import ServerTraits
    from hoisthook.port.clock import Clock


class ExecutionResult(Enum):
    """Result of a request at a modelled backend server."""

    DONE = "done"
    FAILED = "failed"
    SHED = "shed"
    LOST = "lost"


class ModelledServer:
    """A backend server with slots, a queue, slow periods, cold starts and disruptions.

    The speed at the start of a request applies until its end.

    Parameters
    ----------
    traits : ServerTraits
        Capacity and speed.
    disruptions : list of Disruption
        Disruptions that affect it.
    randomness : random.Random
        Draws service times and slow periods.
    clock : Clock
        Virtual clock.
    """

    def __init__(
        self,
        traits: ServerTraits,
        disruptions: list[Disruption],
        randomness: random.Random,
        clock: Clock,
    ) -> None:
        self._traits = traits
        self._disruptions = disruptions
        self._randomness = randomness
        self._clock = clock
        self._slots = asyncio.Semaphore(traits.slots)
        self._waiting = 0
        self._redraw_at = 0.0
        self._is_slow = False
        self.running = 0
        self.runs = 0
        self.arrived_at: list[float] = []

    @property
    def slots(self) -> int:
        """Return the number of requests that it executes concurrently."""
        return self._traits.slots

    def slowdown(self) -> float:
        """Return the slowdown that a load report shows now."""
        now = self._clock.now()
        while self._redraw_at <= now:
            self._redraw_at += self._randomness.expovariate(1.0 / self._traits.slow_seconds)
            self._is_slow = self._randomness.random() < self._traits.slow_share
        cold = self._traits.cold_factor if self._is_cold(now) else 1.0
        return cold * (self._traits.slow_factor if self._is_slow else 1.0)

    def is_up(self) -> bool:
        """Return whether it is up, that is, not restarting."""
        return self._active_disruption(DisruptionKind.RESTART) is None

    def is_gone(self) -> bool:
        """Return whether it and its node are down without notice."""
        return self._active_disruption(DisruptionKind.GONE) is not None

    def silent_until(self) -> float:
        """Return the time until which its node is unresponsive; 0 if it responds."""
        silent = self._active_disruption(DisruptionKind.SILENT)
        return silent.at + silent.lasts if silent is not None else 0.0

    def rate_limit(self) -> float | None:
        """Return the limit in requests per second that its answers name; None for none."""
        limited = self._active_disruption(DisruptionKind.LIMITED)
        return None if limited is None else limited.strength

    async def run(self, route: RouteTraits) -> ExecutionResult:
        """Queue and execute a request, or shed it."""
        self.arrived_at.append(self._clock.now())
        sheds = self._active_disruption(DisruptionKind.SHEDS)
        if sheds is not None and self._randomness.random() < sheds.strength:
            return ExecutionResult.SHED
        if self._waiting >= self._traits.queue:
            return ExecutionResult.SHED
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self.running += 1
        try:
            return await self._execute(route)
        finally:
            self.running -= 1
            self._slots.release()

    async def _execute(self, route: RouteTraits) -> ExecutionResult:
        self.runs += 1
        errors = self._active_disruption(DisruptionKind.ERRORS)
        if errors is not None and self._randomness.random() < errors.strength:
            return ExecutionResult.FAILED
        started_at = self._clock.now()
        work_seconds = self._randomness.lognormvariate(0.0, route.spread) * route.work
        await asyncio.sleep(work_seconds * self._slowdown_factor())
        if any(
            started_at < d.at <= self._clock.now()
            for d in self._disruptions_of(DisruptionKind.RESTART)
        ):
            return ExecutionResult.LOST
        return ExecutionResult.DONE

    def _slowdown_factor(self) -> float:
        traits = self._traits
        factor = self.slowdown()
        if self.running > traits.knee * traits.slots:
            factor *= traits.knee_factor
        degraded = self._active_disruption(DisruptionKind.DEGRADED)
        return factor if degraded is None else factor * degraded.strength

    def _is_cold(self, now: float) -> bool:
        restart_times = (
            d.at + d.lasts
            for d in self._disruptions_of(DisruptionKind.RESTART)
            if d.at + d.lasts <= now
        )
        return (
            now - max(restart_times, default=-self._traits.cold_seconds) < self._traits.cold_seconds
        )

    def _disruptions_of(self, kind: DisruptionKind) -> list[Disruption]:
        return [disruption for disruption in self._disruptions if disruption.kind is kind]

    def _active_disruption(self, kind: DisruptionKind) -> Disruption | None:
        now = self._clock.now()
        for disruption in self._disruptions_of(kind):
            if disruption.at <= now < disruption.at + disruption.lasts:
                return disruption
        return None
