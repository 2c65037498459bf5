"""Decides whether a request for a backend server starts, waits or is rejected."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.admission.demand import Demand
    from hoisthook.admission.priority_gate import PriorityGate
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.port.clock import Clock

# A request that would miss its target in a slow period is started on the last load report only if
# that report is out of date with at most this probability; otherwise the load is read first, which
# takes about 1 ms. Of 6,235 requests under a light load, 0.2 % of those started on a report younger
# than 5 ms took over three times their forecast, and 8.3 % of those started on one older than
# 50 ms.
MAX_BLIND_CHANCE = 0.012
# The same limit while the last report shows a slow period. If that report is out of date, requests
# are rejected needlessly, which costs each only a hop to another node; so the probability may be
# higher before a read pays for itself.
MAX_STALE_SLOW_CHANCE = 0.3
# How many mean durations of a slow period a request may wait for its end. Durations are assumed
# to be exponentially distributed, so nine in ten slow periods have ended by then. Without this
# wait, calls refused in a slow period made 9 of 490 longer requests fail under a light load.
SLOW_PERIODS_WAITED = 2.3
MIN_RETRY_AFTER_SECONDS = 0.02


class Verdict(Enum):
    """Outcome of an admission decision."""

    ADMIT = "admit"
    FULL = "full"
    SLOW = "slow"
    COLD = "cold"


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """A verdict and the time after which a retry is worthwhile.

    Attributes
    ----------
    verdict : Verdict
        Outcome of the decision.
    retry_after : float
        Seconds until a slot is likely to be free; 0 if the request is admitted.
    """

    verdict: Verdict
    retry_after: float = 0.0


ADMITTED = AdmissionDecision(Verdict.ADMIT)


class AdmissionPolicy:
    """Starts, queues or rejects a request by its forecast completion time.

    Load pattern: a request takes several times as long when it starts in a slow period, and all
    servers of a service are slow or full at once after a restart or in a burst.

    Parameters
    ----------
    gate : PriorityGate
        Slots of the backend server and the queue for them.
    speed : ServerSpeed
        Forecasts service times.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, gate: PriorityGate, speed: ServerSpeed, clock: Clock) -> None:
        self._gate = gate
        self._speed = speed
        self._clock = clock

    def start_now(self, demand: Demand) -> AdmissionDecision:
        """Decide on a request that must start at once or be rejected."""
        if not self._gate.has_capacity_for(demand):
            self._note_rejection(demand)
            return AdmissionDecision(self._capacity_verdict(), self.time_to_start(demand))
        if self._gate.is_stalled or not self._gate.ends_in_time(demand):
            slow_seconds = self._speed.slow_periods.mean_slow_seconds
            return AdmissionDecision(Verdict.SLOW, max(MIN_RETRY_AFTER_SECONDS, slow_seconds))
        return ADMITTED

    def may_wait(self, demand: Demand) -> AdmissionDecision:
        """Decide on a request that may wait for a slot.

        It is admitted to the queue if it is likely to start before `waits_until`. Otherwise it is
        rejected at once with a retry time, which serves its caller better than a futile wait.
        """
        start = self._gate.forecast_start(demand)
        if start > self.waits_until(demand):
            self._note_rejection(demand)
            return AdmissionDecision(self._capacity_verdict(), self.time_to_start(demand))
        return ADMITTED

    def waits_until(self, demand: Demand) -> float:
        """Return the time until which a request is kept waiting.

        That is the latest start at which it can still complete within its target. After that its
        answer is late, but a longer request may depend on it. It therefore waits at least one
        turnover of all slots or, where it is held back by a slow period, until that has probably
        ended, which suffices if the server has any capacity. A request that yields to others gets
        no such extension, and none waits until it can no longer complete before its deadline.
        """
        now = self._clock.now()
        seconds = self._speed.seconds_usual(demand.work, now)
        until = demand.due - self._speed.seconds_usual(demand.work + demand.spread, now)
        if self._gate.yields(demand):
            return min(until, demand.deadline - seconds)
        until = max(until, now + self._gate.turnover_seconds)
        if self._speed.is_worth_holding(demand.work, now):
            until = max(
                until, now + SLOW_PERIODS_WAITED * self._speed.slow_periods.mean_slow_seconds
            )
        return min(until, demand.deadline - seconds)

    def time_to_start(self, demand: Demand) -> float:
        """Return the forecast seconds until a request gets a slot."""
        start = self._gate.forecast_start(demand)
        return max(MIN_RETRY_AFTER_SECONDS, start - self._clock.now())

    def _capacity_verdict(self) -> Verdict:
        is_full = self._gate.running >= self._gate.limit
        is_limited = self._gate.rate.per_second is not None
        return (
            Verdict.FULL if is_full or is_limited or self._gate.cold.limit is None else Verdict.COLD
        )

    def _note_rejection(self, demand: Demand) -> None:
        now = self._clock.now()
        seconds = self._speed.seconds_usual(demand.work, now)
        if now + seconds <= demand.due:
            self._gate.pressure.rejected(seconds, now)

    def is_read_worthwhile(self, demand: Demand) -> bool:
        """Return whether reading the load could change the decision about a request."""
        if not self._gate.has_capacity:
            return False
        now = self._clock.now()
        slow_periods = self._speed.slow_periods
        if now + self._speed.seconds_slow(demand.work, now) <= demand.due:
            return False
        if slow_periods.is_slow:
            return slow_periods.chance_of_change(now) > MAX_STALE_SLOW_CHANCE
        return slow_periods.chance_of_change(now) > MAX_BLIND_CHANCE
