"""Whether a request starts, waits or is turned away beside a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.admission.demand import Demand
    from hoisthook.admission.priority_gate import PriorityGate
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.port.clock import Clock

# A request that would be late if it began in a slow moment is started on a report that is wrong
# with at most this chance; else the load is read first. Of 6,235 requests of a calm system, 0.2 %
# of those started on a report younger than 5 ms took over three times their forecast, and 8.3 %
# of those started on one older than 50 ms. A read takes about a millisecond.
MAX_BLIND_CHANCE = 0.012
# A report of a slow moment turns requests away for nothing once it is wrong; they go elsewhere
# at the price of a hop, so it may be wrong more often before a read is worth its cost.
MAX_STALE_SLOW_CHANCE = 0.3
# Slow moments end at random, so nine in ten are over after this many times their average. Without
# it, calls refused in a slow moment failed 9 of 490 longer requests of the model's quiet load.
SPELLS_WAITED = 2.3
MIN_RETRY_AFTER_SECONDS = 0.02


class Verdict(Enum):
    """What is decided about a request."""

    ADMIT = "admit"
    FULL = "full"
    SLOW = "slow"
    COLD = "cold"


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """A verdict and when to ask again.

    Attributes
    ----------
    verdict : Verdict
        What is decided.
    retry_after : float
        Seconds after which a slot is likely to be free; 0 if admitted.
    """

    verdict: Verdict
    retry_after: float = 0.0


ADMITTED = AdmissionDecision(Verdict.ADMIT)


class AdmissionPolicy:
    """Starts, queues or rejects a request by the time at which it would end here.

    Load pattern: work takes several times as long when it begins in a slow moment, and all
    servers of a service are slow or full at once after a restart or in a burst.

    Parameters
    ----------
    gate : PriorityGate
        Slots and those that wait for them.
    speed : ServerSpeed
        How long work takes.
    clock : Clock
        Monotonic.
    """

    def __init__(self, gate: PriorityGate, speed: ServerSpeed, clock: Clock) -> None:
        self._gate = gate
        self._speed = speed
        self._clock = clock

    def start_now(self, demand: Demand) -> AdmissionDecision:
        """Rule on a request that may only start at once."""
        if not self._gate.has_room_for(demand):
            self._note_turned_away(demand)
            return AdmissionDecision(self._why_no_room(), self.time_to_start(demand))
        if self._gate.is_stalled or not self._gate.ends_in_time(demand):
            spell = self._speed.slow_periods.spell_seconds
            return AdmissionDecision(Verdict.SLOW, max(MIN_RETRY_AFTER_SECONDS, spell))
        return ADMITTED

    def may_wait(self, demand: Demand) -> AdmissionDecision:
        """Rule on a request that may wait for a slot.

        It waits if it is likely to start before `waits_until`; else its caller is better served
        by hearing at once when to come back.
        """
        start = self._gate.forecast_start(demand)
        if start > self.waits_until(demand):
            self._note_turned_away(demand)
            return AdmissionDecision(self._why_no_room(), self.time_to_start(demand))
        return ADMITTED

    def waits_until(self, demand: Demand) -> float:
        """Return until when a request is kept waiting.

        That is the last moment at which it can still begin and end within its target. Past it,
        an answer is late, but a longer request may wait for it; so it gets the time in which
        the slots are all given out once more, or a slow moment is over, which serves it if the
        server has any room.
        """
        now = self._clock.now()
        seconds = self._speed.seconds_usual(demand.work, now)
        until = demand.due - self._speed.seconds_usual(demand.work + demand.spread, now)
        if self._gate.yields(demand):
            return until
        until = max(until, now + self._gate.turnover_seconds)
        if self._speed.is_worth_holding(demand.work, now):
            until = max(until, now + SPELLS_WAITED * self._speed.slow_periods.spell_seconds)
        return min(until, demand.deadline - seconds)

    def time_to_start(self, demand: Demand) -> float:
        """Return the seconds after which a request is likely to get a slot."""
        start = self._gate.forecast_start(demand)
        return max(MIN_RETRY_AFTER_SECONDS, start - self._clock.now())

    def _why_no_room(self) -> Verdict:
        is_full = self._gate.running >= self._gate.limit
        return Verdict.FULL if is_full or self._gate.cold.limit is None else Verdict.COLD

    def _note_turned_away(self, demand: Demand) -> None:
        now = self._clock.now()
        seconds = self._speed.seconds_usual(demand.work, now)
        if now + seconds <= demand.due:
            self._gate.pressure.turned_away(seconds, now)

    def is_read_worthwhile(self, demand: Demand) -> bool:
        """Return whether a read of the load could change what is decided about a request."""
        if not self._gate.has_room:
            return False
        now = self._clock.now()
        slow_periods = self._speed.slow_periods
        if now + self._speed.seconds_slow(demand.work, now) <= demand.due:
            return False
        if slow_periods.is_slow:
            return slow_periods.chance_of_change(now) > MAX_STALE_SLOW_CHANCE
        return slow_periods.chance_of_change(now) > MAX_BLIND_CHANCE
