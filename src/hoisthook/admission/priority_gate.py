"""Slots of a backend server, granted to waiting requests by priority."""

from __future__ import annotations

import asyncio
import heapq
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.admission.cold_limit import ColdLimit
from hoisthook.admission.pressure import Pressure
from hoisthook.admission.rate_limit import RateLimit
from hoisthook.admission.send_log import SendLog
from hoisthook.admission.urgent_arrivals import UrgentArrivals

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.admission.demand import Demand
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.port.clock import Clock

# A request that has exceeded its forecast is expected to run for this share of its expected service
# time longer.
OVERRUN_SHARE = 0.2
# A running request is overdue after twice its expected service time, which is beyond the normal
# variation. A single overdue request may just be long, so a stall takes at least two.
STALL_FACTOR = 2.0
MIN_STALLED = 2


@dataclass(slots=True, eq=False)
class Slot:
    """A slot held by a request; to be released exactly once.

    Attributes
    ----------
    ends : float
        When the request is expected to complete, in seconds on the gate's clock.
    work : float
        Expected service time at the speed when it was admitted, in seconds.
    usual : float
        Expected service time outside a slow period, in seconds.
    priority : int
        Rank of the request; 0 is the most urgent.
    is_sent : bool
        Whether the request has been sent.
    """

    ends: float
    work: float
    usual: float
    priority: int = 0
    is_sent: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    demand: Demand
    number: int
    admitted: asyncio.Future[Slot | None]


class PriorityGate:
    """Runs at most ``limit`` requests at once; the others wait in a priority queue.

    Requests that can still meet their target go before those that cannot. Within each of these
    groups requests are ordered by priority, then by the latest start at which they meet their
    target, so that a short call on which a longer request depends does not wait for requests that
    can wait longer. During a slow period that will end soon, no request starts that would miss its
    target because of it: it would hold a slot for several times its usual service time, which
    halves the throughput of the server while many wait.

    Parameters
    ----------
    limit : int
        Maximum number of running requests.
    speed : ServerSpeed
        Forecasts service times.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    cold : ColdLimit
        Limits the requests sent in a second while the server is cold.
    rate : RateLimit
        Limits the requests sent while the server names a rate.
    urgent : UrgentArrivals
        Determines how much of these limits is withheld for more urgent requests.
    pressure : Pressure
        Determines whether late requests yield to those that can meet their target.
    """

    def __init__(self, limit: int, speed: ServerSpeed, clock: Clock) -> None:
        self._limit = limit
        self._speed = speed
        self._clock = clock
        self._sends = SendLog()
        self.cold = ColdLimit(clock.now(), self._sends)
        self.rate = RateLimit(clock.now(), self._sends)
        self.urgent = UrgentArrivals()
        self.pressure = Pressure()
        self._waiters: list[_Waiter] = []
        self._running: set[Slot] = set()
        self._last_number = 0

    @property
    def limit(self) -> int:
        """Return the maximum number of running requests."""
        return self._limit

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    @property
    def has_capacity(self) -> bool:
        """Return whether another request may start and none waits."""
        return self._may_start and not self._waiters

    def has_capacity_for(self, demand: Demand) -> bool:
        """Return whether there is capacity that is not withheld for more urgent requests."""
        return self.has_capacity and self._is_within_rates(demand)

    @property
    def is_rate_used_up(self) -> bool:
        """Return whether the rate that the server names admits no request now."""
        return self.rate.available(self._clock.now()) <= 0

    def _sendable(self, now: float) -> int:
        return min(self.cold.available(now), self.rate.available(now))

    def _is_within_rates(self, demand: Demand) -> bool:
        return self._sendable(self._clock.now()) > self._withheld_from(demand)

    def _withheld_from(self, demand: Demand) -> int:
        now = self._clock.now()
        limits = []
        if self.cold.limit is not None and self.cold.is_cold(now):
            limits.append(self.cold.limit)
        if self.rate.per_second is not None:
            limits.append(int(self.rate.per_second))
        return self.urgent.withheld_from(demand.priority, min(limits), now) if limits else 0

    @property
    def is_holding(self) -> bool:
        """Return whether requests wait although slots are free, as during a slow period."""
        return self._may_start and bool(self._waiters)

    @property
    def _may_start(self) -> bool:
        return self.running < self._limit and self._sendable(self._clock.now()) > 0

    @property
    def turnover_seconds(self) -> float:
        """Return the mean expected service time of the running requests, in seconds."""
        return self._mean(slot.work for slot in self._running)

    def waiting_before(self, demand: Demand) -> int:
        """Return how many waiting requests go before a request that arrives now."""
        now = self._clock.now()
        own_order = self._order(demand, now)
        return sum(1 for waiter in self._waiters if self._order(waiter.demand, now) <= own_order)

    def is_startable(self, demand: Demand) -> bool:
        """Return whether a request may start at the current speed."""
        if self.ends_in_time(demand):
            return True
        if self.yields(demand):
            return False
        return not self._speed.is_worth_holding(demand.work, self._clock.now())

    def yields(self, demand: Demand) -> bool:
        """Return whether a late request has to yield to those that can meet their target."""
        now = self._clock.now()
        seconds = self._speed.seconds_usual(demand.work, now)
        usual = self._mean(slot.usual for slot in self._running)
        return self.pressure.yields(seconds, usual, now)

    def ends_in_time(self, demand: Demand) -> bool:
        """Return whether a request that starts now is likely to meet its target."""
        now = self._clock.now()
        return now + self._speed.seconds_now(demand.work, now) <= demand.due

    @property
    def is_stalled(self) -> bool:
        """Return whether most running requests are long overdue.

        Detects a server that has slowed down without a report before its requests complete.
        """
        now = self._clock.now()
        overdue = sum(1 for s in self._running if now > s.ends + (STALL_FACTOR - 1.0) * s.work)
        return overdue >= MIN_STALLED and 2 * overdue > len(self._running)

    def forecast_start(self, demand: Demand) -> float:
        """Return when a request that arrives now would get a slot."""
        now = self._clock.now()
        ends = [self._expected_end(slot, now) for slot in self._running]
        ends.extend(now for _ in range(self._limit - len(ends)))
        heapq.heapify(ends)
        start = self._next_start(ends)
        own_order = self._order(demand, now)
        ahead = self._withheld_from(demand)
        for waiter in self._waiters:
            if self._order(waiter.demand, now) <= own_order:
                heapq.heappush(ends, start + self._speed.seconds_usual(waiter.demand.work, now))
                start = self._next_start(ends)
                ahead += 1
        until_sendable = max(
            self.cold.seconds_until_available(now, ahead),
            self.rate.seconds_until_available(now, ahead),
        )
        return max(start, now + until_sendable)

    def set_limit(self, limit: int) -> None:
        """Change the limit without affecting running requests."""
        self._limit = limit
        self.admit()

    async def enter(self, demand: Demand, until: float = -math.inf) -> Slot | None:
        """Take a slot, waiting for it until ``until`` at the latest.

        Parameters
        ----------
        demand : Demand
            The request.
        until : float
            When to stop waiting; a time in the past means not to wait.

        Returns
        -------
        Slot or None
            The slot, to be released by `leave`; None if the request got none.
        """
        if self.has_capacity_for(demand) and self.is_startable(demand):
            return self._take(demand)
        now = self._clock.now()
        if until <= now:
            return None
        self._last_number += 1
        waiter = _Waiter(demand, self._last_number, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(until - now):
                return await waiter.admitted
        except TimeoutError:
            return self._withdraw(waiter)
        except asyncio.CancelledError:
            slot = self._withdraw(waiter)
            if slot is not None:
                self.leave(slot)
            raise

    def leave(self, slot: Slot) -> None:
        """Release a slot."""
        self._running.remove(slot)
        if not slot.is_sent:
            self._sends.release()
        self.admit()

    def sent(self, slot: Slot) -> None:
        """Record that the request that holds a slot is sent."""
        if not slot.is_sent:
            slot.is_sent = True
            self._sends.sent(self._clock.now())
            self.urgent.sent(slot.priority, self._clock.now())

    def admit(self) -> None:
        """Grant free slots to the waiting requests that may start now."""
        while self._waiters and self._may_start:
            startable = [
                w
                for w in self._waiters
                if self._is_within_rates(w.demand) and self.is_startable(w.demand)
            ]
            if not startable:
                return
            now = self._clock.now()
            next_waiter = min(startable, key=lambda w: (self._order(w.demand, now), w.number))
            self._waiters.remove(next_waiter)
            if not next_waiter.admitted.done():
                next_waiter.admitted.set_result(self._take(next_waiter.demand))

    def refuse_waiting(self) -> None:
        """Reject all waiting requests."""
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            if not waiter.admitted.done():
                waiter.admitted.set_result(None)

    def _mean(self, seconds: Iterable[float]) -> float:
        return sum(seconds) / len(self._running) if self._running else 0.0

    def _take(self, demand: Demand) -> Slot:
        now = self._clock.now()
        seconds = self._speed.seconds_now(demand.work, now)
        usual = self._speed.seconds_usual(demand.work, now)
        slot = Slot(now + seconds, seconds, usual, demand.priority)
        self._running.add(slot)
        self._sends.reserve()
        return slot

    def _withdraw(self, waiter: _Waiter) -> Slot | None:
        """Remove a waiter; return its slot if it was granted one concurrently."""
        if waiter.admitted.done() and not waiter.admitted.cancelled():
            return waiter.admitted.result()
        waiter.admitted.cancel()
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        return None

    def _order(self, demand: Demand, now: float) -> tuple[bool, int, float]:
        latest = demand.due - self._speed.seconds_usual(demand.work, now)
        return (latest < now, demand.priority, latest)

    def _next_start(self, ends: list[float]) -> float:
        return heapq.heappop(ends) if ends else self._clock.now()

    def _expected_end(self, slot: Slot, now: float) -> float:
        return max(slot.ends, now + OVERRUN_SHARE * slot.work)
