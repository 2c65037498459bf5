"""A backend server in the model."""

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


class Ended(Enum):
    """How a request ends at a modelled backend server."""

    DONE = "done"
    FAILED = "failed"
    SHED = "shed"
    LOST = "lost"


class ModelledServer:
    """Slots, a queue, slow moments, cold starts and troubles.

    The speed that holds when a request begins holds to its end.

    Parameters
    ----------
    traits : ServerTraits
        How it works.
    troubles : list of Disruption
        What befalls it.
    randomness : random.Random
        Draws work and slow moments.
    clock : Clock
        Virtual.
    """

    def __init__(
        self,
        traits: ServerTraits,
        troubles: list[Disruption],
        randomness: random.Random,
        clock: Clock,
    ) -> None:
        self._traits = traits
        self._disruptions = troubles
        self._randomness = randomness
        self._clock = clock
        self._slots = asyncio.Semaphore(traits.slots)
        self._waiting = 0
        self._drawn_until = 0.0
        self._slow = False
        self.running = 0
        self.runs = 0

    @property
    def slots(self) -> int:
        """Return how many requests it runs at once."""
        return self._traits.slots

    def slowdown(self) -> float:
        """Return what a load report says at this moment."""
        now = self._clock.now()
        while self._drawn_until <= now:
            self._drawn_until += self._randomness.expovariate(1.0 / self._traits.slow_seconds)
            self._slow = self._randomness.random() < self._traits.slow_share
        cold = self._traits.cold_factor if self._is_cold(now) else 1.0
        return cold * (self._traits.slow_factor if self._slow else 1.0)

    def is_up(self) -> bool:
        """Return whether it answers."""
        return self._under(DisruptionKind.RESTART) is None

    def is_gone(self) -> bool:
        """Return whether it and its node are gone without a word."""
        return self._under(DisruptionKind.GONE) is not None

    def silent_until(self) -> float:
        """Return until when its node answers nothing; 0 if it does answer."""
        silent = self._under(DisruptionKind.SILENT)
        return silent.at + silent.lasts if silent is not None else 0.0

    async def run(self, route: RouteTraits) -> Ended:
        """Run a request."""
        sheds = self._under(DisruptionKind.SHEDS)
        if sheds is not None and self._randomness.random() < sheds.strength:
            return Ended.SHED
        if self._waiting >= self._traits.queue:
            return Ended.SHED
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self.running += 1
        try:
            return await self._work(route)
        finally:
            self.running -= 1
            self._slots.release()

    async def _work(self, route: RouteTraits) -> Ended:
        self.runs += 1
        errors = self._under(DisruptionKind.ERRORS)
        if errors is not None and self._randomness.random() < errors.strength:
            return Ended.FAILED
        begun = self._clock.now()
        work = self._randomness.lognormvariate(0.0, route.spread) * route.work
        await asyncio.sleep(work * self._factor())
        if any(begun < t.at <= self._clock.now() for t in self._of(DisruptionKind.RESTART)):
            return Ended.LOST
        return Ended.DONE

    def _factor(self) -> float:
        traits = self._traits
        factor = self.slowdown()
        if self.running > traits.knee * traits.slots:
            factor *= traits.knee_factor
        degraded = self._under(DisruptionKind.DEGRADED)
        return factor if degraded is None else factor * degraded.strength

    def _is_cold(self, now: float) -> bool:
        started = (
            t.at + t.lasts for t in self._of(DisruptionKind.RESTART) if t.at + t.lasts <= now
        )
        return now - max(started, default=-self._traits.cold_seconds) < self._traits.cold_seconds

    def _of(self, kind: DisruptionKind) -> list[Disruption]:
        return [disruption for disruption in self._disruptions if disruption.kind is kind]

    def _under(self, kind: DisruptionKind) -> Disruption | None:
        now = self._clock.now()
        for disruption in self._of(kind):
            if disruption.at <= now < disruption.at + disruption.lasts:
                return disruption
        return None
