"""Admission to one backend server: the decisions, and the reads of its load that they need."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.admission.admission_policy import AdmissionPolicy
from hoisthook.admission.demand import Demand
from hoisthook.admission.priority_gate import PriorityGate
from hoisthook.admission.usable_slots import UsableSlots
from hoisthook.admission.work_times import WorkTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.admission.admission_policy import AdmissionDecision
    from hoisthook.admission.priority_gate import Slot
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.identity import RouteName
    from hoisthook.measure.measure_budget import MeasureBudget
    from hoisthook.port.clock import Clock

# Assumed until the first load report or announcement.
DEFAULT_SLOTS = 4
# How often the load is read while requests wait for a slow moment to end: the moment lasts a few
# hundred milliseconds, so this leaves slots idle for a twentieth of it.
HOLDING_READ_SECONDS = 0.02


class LoadReader(Protocol):
    """Reads the load of the backend server into the speed that the admitter goes by."""

    @property
    def is_reading(self) -> bool:
        """Return whether a read is under way."""

    async def read(self) -> None:
        """Read once, or wait for the read under way."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that runs at the backend server.

    Attributes
    ----------
    slot : Slot
        What it holds.
    route : RouteName
        By which its usual duration is learned.
    work : float
        Seconds that it was to take where nothing slows it.
    slowdown : float
        What the last report said at its start.
    running : int
        How many ran there as it began, itself included.
    """

    slot: Slot
    route: RouteName
    work: float
    slowdown: float
    running: int = 1


class Admitter:
    """Slots, waiting and speed of one backend server.

    Parameters
    ----------
    speed : ServerSpeed
        What its reports and answers tell.
    reader : LoadReader
        Renews the reports.
    budget : MeasureBudget
        Bounds the reads.
    usable_share : float
        Share of its slots that is used where it slows down when nearly full.
    clock : Clock
        Monotonic, the loop's own.
    """

    def __init__(
        self,
        speed: ServerSpeed,
        reader: LoadReader,
        budget: MeasureBudget,
        usable_share: float,
        clock: Clock,
    ) -> None:
        self._reader = reader
        self._budget = budget
        self._usable = UsableSlots(usable_share)
        self._slots = DEFAULT_SLOTS
        self._clock = clock
        self._work = WorkTimes()
        self._holding: asyncio.Task[None] | None = None
        self.speed = speed
        self.gate = PriorityGate(DEFAULT_SLOTS, speed, clock)
        self.policy = AdmissionPolicy(self.gate, speed, clock)

    def close(self) -> None:
        """Stop reading while requests wait."""
        if self._holding is not None:
            self._holding.cancel()

    def demand(
        self, route: RouteName, priority: int, *, received: float, target: float, deadline: float
    ) -> Demand:
        """Return what a request asks for.

        Parameters
        ----------
        route : RouteName
            By which its usual duration is known.
        priority : int
            Rank.
        received : float
            When it was taken up.
        target : float
            Seconds from then within which its answer has its full worth.
        deadline : float
            When its answer is of no use any more.
        """
        work = self._work.usual(route, target)
        spread = self._work.spread(route, target)
        return Demand(priority, received + target, deadline, work, spread)

    def arrived(self, demand: Demand) -> None:
        """Note a request, whatever becomes of it."""
        self.gate.urgent.arrived(demand.priority, self._clock.now())

    async def renew(self, demand: Demand) -> None:
        """Read the load if that could change what is decided about a request."""
        is_bound = self.gate.cold.is_read_worthwhile(self._clock.now())
        if (is_bound or self.policy.is_read_worthwhile(demand)) and self._may_read():
            await self.read()

    async def read(self) -> None:
        """Read the load whatever is known of it."""
        await self._reader.read()
        self.gate.admit()

    def rule(self, demand: Demand, *, may_wait: bool) -> AdmissionDecision:
        """Rule on a request."""
        return self.policy.may_wait(demand) if may_wait else self.policy.start_now(demand)

    async def enter(
        self,
        route: RouteName,
        demand: Demand,
        *,
        may_wait: bool,
        waiting: Callable[[float], None] | None = None,
    ) -> AdmittedRequest | None:
        """Take a slot for a request that was not turned away; None if it got none.

        Parameters
        ----------
        route : RouteName
            Of the request.
        demand : Demand
            What it asks for.
        may_wait : bool
            Whether it is kept waiting.
        waiting : callable, optional
            Told for how many seconds at most, if it is.
        """
        until = self.policy.waits_until(demand) if may_wait else self._clock.now()
        if may_wait and not (self.gate.has_room_for(demand) and self.gate.starts_well(demand)):
            self._read_while_holding()
            if waiting is not None:
                waiting(max(0.0, until - self._clock.now()))
        slot = await self.gate.enter(demand, until)
        if slot is None:
            return None
        return AdmittedRequest(slot, route, demand.work, self.speed.slowdown, self.gate.running)

    def leave(self, admitted_request: AdmittedRequest) -> None:
        """Give a request's slot back."""
        self.gate.leave(admitted_request.slot)

    def sent(self, admitted_request: AdmittedRequest) -> None:
        """Note that a request goes out to the backend server."""
        self.gate.sent(admitted_request.slot)

    def worked(self, admitted_request: AdmittedRequest, seconds: float) -> None:
        """Learn from a request that ran to its end."""
        self.gave_up(admitted_request, seconds)
        if self._work.is_known(admitted_request.route):
            ratio = seconds / (admitted_request.work * max(1.0, admitted_request.slowdown))
            self._usable.finished(self._slots, (admitted_request.running, self.gate.running), ratio)
        self._work.learn(admitted_request.route, seconds, admitted_request.slowdown)

    def gave_up(self, admitted_request: AdmittedRequest, seconds: float) -> None:
        """Learn from a request that was given up while it ran."""
        self.speed.finished(
            admitted_request.work, seconds, admitted_request.slowdown, self._clock.now()
        )

    def has_slots(self, slots: int) -> None:
        """Take in how many requests the backend server can run at once; 0 if not known."""
        self._slots = slots or DEFAULT_SLOTS
        limit = self._usable.limit(self._slots, self._clock.now())
        if limit != self.gate.limit:
            self.gate.set_limit(limit)

    def _may_read(self) -> bool:
        return self._reader.is_reading or self._budget.take(self._clock.now())

    def _read_while_holding(self) -> None:
        if self._holding is None or self._holding.done():
            self._holding = asyncio.get_running_loop().create_task(self._renew_while_holding())

    async def _renew_while_holding(self) -> None:
        """Renew the load while requests wait for a slow moment to end."""
        await asyncio.sleep(HOLDING_READ_SECONDS)
        while self.gate.waiting:
            if self._is_read_due() and self._may_read():
                await self.read()
            self.gate.admit()
            await asyncio.sleep(HOLDING_READ_SECONDS)

    def _is_read_due(self) -> bool:
        now = self._clock.now()
        if self.gate.cold.is_read_worthwhile(now):
            return True
        return self.gate.is_holding and self.speed.slow_periods.age(now) >= HOLDING_READ_SECONDS
