"""Slots of a backend server, given to the most urgent request that waits."""

from __future__ import annotations

import asyncio
import heapq
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.admission.cold_limit import ColdLimit
from hoisthook.admission.pressure import Pressure
from hoisthook.admission.urgent_arrivals import UrgentArrivals

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.admission.demand import Demand
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.port.clock import Clock

# A request that runs longer than forecast is expected to run on for this share of its work.
OVERRUN_SHARE = 0.2
# Twice the expected time is beyond the variation of work; a single request may be long by itself.
STALL_FACTOR = 2.0
MIN_STALLED = 2


@dataclass(slots=True, eq=False)
class Slot:
    """A slot that a request holds; given back once.

    Attributes
    ----------
    ends : float
        When the request is expected to end.
    work : float
        What it was expected to take.
    usual : float
        What it would take outside a slow moment.
    priority : int
        Rank of the request.
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
    """At most ``limit`` requests run; others wait in order of priority, then of urgency.

    Requests that can still end within their target go before those that cannot, and among
    them the one that must start first goes first: a short call on which a longer request
    waits is not held up by requests with time to spare. In a slow moment that will soon be
    over nothing starts that would miss its target by it: such work holds a slot for several
    times its usual time, which halves what the server can do while many wait.

    Parameters
    ----------
    limit : int
        How many may run.
    speed : ServerSpeed
        How long work takes.
    clock : Clock
        Monotonic.

    Attributes
    ----------
    cold : ColdLimit
        How many may be sent in a second while the server is cold.
    urgent : UrgentArrivals
        How much of that is kept for what is more urgent.
    """

    def __init__(self, limit: int, speed: ServerSpeed, clock: Clock) -> None:
        self._limit = limit
        self._speed = speed
        self._clock = clock
        self.cold = ColdLimit(clock.now())
        self.urgent = UrgentArrivals()
        self.pressure = Pressure()
        self._waiters: list[_Waiter] = []
        self._running: set[Slot] = set()
        self._numbers = 0

    @property
    def limit(self) -> int:
        """Return how many may run."""
        return self._limit

    @property
    def running(self) -> int:
        """Return how many run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many wait."""
        return len(self._waiters)

    @property
    def has_room(self) -> bool:
        """Return whether a slot is free and nobody waits for one."""
        return self._may_start and not self._waiters

    def has_room_for(self, demand: Demand) -> bool:
        """Return whether there is room that is not kept for something more urgent."""
        return self.has_room and self._is_not_kept_from(demand)

    def _is_not_kept_from(self, demand: Demand) -> bool:
        return self.cold.room(self._clock.now()) > self._kept_from(demand)

    def _kept_from(self, demand: Demand) -> int:
        now = self._clock.now()
        limit = self.cold.limit
        if limit is None or not self.cold.is_cold(now):
            return 0
        return self.urgent.kept_from(demand.priority, limit, now)

    @property
    def is_holding(self) -> bool:
        """Return whether requests wait although slots are free, for a slow moment to end."""
        return self._may_start and bool(self._waiters)

    @property
    def _may_start(self) -> bool:
        return self.running < self._limit and self.cold.room(self._clock.now()) > 0

    @property
    def turnover_seconds(self) -> float:
        """Return what the requests that run were expected to take on average."""
        return self._mean(slot.work for slot in self._running)

    def waiting_before(self, demand: Demand) -> int:
        """Return how many would get a slot before a request that came now."""
        now = self._clock.now()
        mine = self._order(demand, now)
        return sum(1 for waiter in self._waiters if self._order(waiter.demand, now) <= mine)

    def starts_well(self, demand: Demand) -> bool:
        """Return whether a request may start at this moment's speed."""
        if self.ends_in_time(demand):
            return True
        if self.yields(demand):
            return False
        return not self._speed.is_worth_holding(demand.work, self._clock.now())

    def yields(self, demand: Demand) -> bool:
        """Return whether a request that cannot be in time now leaves its place to others."""
        now = self._clock.now()
        seconds = self._speed.seconds_usual(demand.work, now)
        usual = self._mean(slot.usual for slot in self._running)
        return self.pressure.yields(seconds, usual, now)

    def ends_in_time(self, demand: Demand) -> bool:
        """Return whether a request that starts at this moment is likely to meet its target."""
        now = self._clock.now()
        return now + self._speed.seconds_now(demand.work, now) <= demand.due

    @property
    def is_stalled(self) -> bool:
        """Return whether most of what runs takes far longer than it was to.

        Shows a server that has slowed down without a report before its requests end.
        """
        now = self._clock.now()
        overdue = sum(1 for s in self._running if now > s.ends + (STALL_FACTOR - 1.0) * s.work)
        return overdue >= MIN_STALLED and 2 * overdue > len(self._running)

    def forecast_start(self, demand: Demand) -> float:
        """Return when a request that came now would get a slot."""
        now = self._clock.now()
        ends = [self._expected_end(slot, now) for slot in self._running]
        ends.extend(now for _ in range(self._limit - len(ends)))
        heapq.heapify(ends)
        start = self._next_start(ends)
        mine = self._order(demand, now)
        ahead = self._kept_from(demand)
        for waiter in self._waiters:
            if self._order(waiter.demand, now) <= mine:
                heapq.heappush(ends, start + self._speed.seconds_usual(waiter.demand.work, now))
                start = self._next_start(ends)
                ahead += 1
        return max(start, now + self.cold.opens_in(now, ahead))

    def set_limit(self, limit: int) -> None:
        """Change how many may run; those running are left alone."""
        self._limit = limit
        self.admit()

    async def enter(self, demand: Demand, until: float = -math.inf) -> Slot | None:
        """Take a slot, waiting for it until some moment at most.

        Parameters
        ----------
        demand : Demand
            The request.
        until : float
            When to give up; in the past to wait not at all.

        Returns
        -------
        Slot or None
            What `leave` gives back; None if no slot was got.
        """
        if self.has_room_for(demand) and self.starts_well(demand):
            return self._take(demand)
        now = self._clock.now()
        if until <= now:
            return None
        self._numbers += 1
        waiter = _Waiter(demand, self._numbers, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(until - now):
                return await waiter.admitted
        except TimeoutError:
            return self._withdrawn(waiter)
        except asyncio.CancelledError:
            slot = self._withdrawn(waiter)
            if slot is not None:
                self.leave(slot)
            raise

    def leave(self, slot: Slot) -> None:
        """Give a slot back."""
        self._running.remove(slot)
        if not slot.is_sent:
            self.cold.release()
        self.admit()

    def sent(self, slot: Slot) -> None:
        """Note that the request that holds a slot is sent."""
        if not slot.is_sent:
            slot.is_sent = True
            self.cold.sent(self._clock.now())
            self.urgent.sent(slot.priority, self._clock.now())

    def admit(self) -> None:
        """Give free slots to those that wait, as far as they may start at this moment."""
        while self._waiters and self._may_start:
            startable = [
                w
                for w in self._waiters
                if self._is_not_kept_from(w.demand) and self.starts_well(w.demand)
            ]
            if not startable:
                return
            now = self._clock.now()
            first = min(startable, key=lambda w: (self._order(w.demand, now), w.number))
            self._waiters.remove(first)
            if not first.admitted.done():
                first.admitted.set_result(self._take(first.demand))

    def refuse_waiting(self) -> None:
        """Send away all that wait."""
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
        self.cold.reserve()
        return slot

    def _withdrawn(self, waiter: _Waiter) -> Slot | None:
        """Take a waiter out; return the slot if it had got one in the same moment."""
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
