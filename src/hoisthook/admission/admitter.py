"""Admission to one backend server, including the load reads that decisions depend on."""

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

# Number of slots assumed until the first load report or announcement.
DEFAULT_SLOTS = 4
# Interval of load reads while requests wait for a slow period to end. A slow period lasts a few
# hundred milliseconds, so slots stay idle for about a twentieth of it after its end.
HOLDING_READ_SECONDS = 0.02


class LoadReader(Protocol):
    """Reads the load of the backend server and updates the `ServerSpeed` of the admitter."""

    @property
    def is_reading(self) -> bool:
        """Return whether a read is in progress."""

    async def read(self) -> bool:
        """Read once, or wait for the read in progress; return whether there was an answer."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that holds a slot of the backend server.

    Attributes
    ----------
    slot : Slot
        The slot that it holds.
    route : RouteName
        Route whose service time is learned from it.
    work : float
        Expected service time in seconds at full speed.
    slowdown : float
        Slowdown factor in the last load report when it was admitted.
    running : int
        Number of requests that held a slot when it was admitted, itself included.
    """

    slot: Slot
    route: RouteName
    work: float
    slowdown: float
    running: int = 1


class Admitter:
    """Slots, queue and speed of one backend server.

    Parameters
    ----------
    speed : ServerSpeed
        Speed of the backend server, learned from its load reports and answers.
    reader : LoadReader
        Reads new load reports.
    budget : MeasureBudget
        Limits the rate of reads.
    usable_share : float
        Share of the slots, 0 to 1, that is used if the server slows down when nearly full.
    clock : Clock
        Monotonic clock of the event loop.
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
        self._usable_slots = UsableSlots(usable_share)
        self._slots = DEFAULT_SLOTS
        self._clock = clock
        self._work_times = WorkTimes()
        self._holding_task: asyncio.Task[None] | None = None
        self.speed = speed
        self.gate = PriorityGate(DEFAULT_SLOTS, speed, clock)
        self.policy = AdmissionPolicy(self.gate, speed, clock)

    def close(self) -> None:
        """Stop the periodic load reads."""
        if self._holding_task is not None:
            self._holding_task.cancel()

    def demand(
        self, route: RouteName, priority: int, *, received: float, target: float, deadline: float
    ) -> Demand:
        """Return the demand of a request.

        Parameters
        ----------
        route : RouteName
            Route, from which its service time is estimated.
        priority : int
            Rank; 0 is the most urgent.
        received : float
            When it was received, in seconds on the clock.
        target : float
            Target latency: seconds from ``received`` within which its answer has its full value.
        deadline : float
            When it expires, in seconds on the clock.
        """
        work = self._work_times.usual(route, target)
        spread = self._work_times.spread(route, target)
        return Demand(priority, received + target, deadline, work, spread)

    def arrived(self, demand: Demand) -> None:
        """Record the arrival of a request, whether or not it is admitted."""
        self.gate.urgent.arrived(demand.priority, self._clock.now())

    async def refresh_load(self, demand: Demand) -> None:
        """Read the load if that could change the decision about a request."""
        is_bound = self.gate.cold.is_read_worthwhile(self._clock.now())
        if (is_bound or self.policy.is_read_worthwhile(demand)) and self._may_read():
            await self.read()

    async def read(self) -> None:
        """Read the load unconditionally."""
        await self._reader.read()
        self.gate.admit()

    def decide_admission(self, demand: Demand, *, may_wait: bool) -> AdmissionDecision:
        """Decide whether a request starts, waits or is rejected."""
        return self.policy.may_wait(demand) if may_wait else self.policy.start_now(demand)

    async def enter(
        self,
        route: RouteName,
        demand: Demand,
        *,
        may_wait: bool,
        waiting: Callable[[float], None] | None = None,
    ) -> AdmittedRequest | None:
        """Take a slot for a request that was not rejected.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        demand : Demand
            Demand of the request.
        may_wait : bool
            Whether it may wait for a slot.
        waiting : callable, optional
            Called with the maximum wait in seconds if the request has to wait.

        Returns
        -------
        AdmittedRequest or None
            The admitted request; None if it got no slot.
        """
        until = self.policy.waits_until(demand) if may_wait else self._clock.now()
        if may_wait and not (self.gate.has_capacity_for(demand) and self.gate.is_startable(demand)):
            self._start_holding_reads()
            if waiting is not None:
                waiting(max(0.0, until - self._clock.now()))
        slot = await self.gate.enter(demand, until)
        if slot is None:
            return None
        return AdmittedRequest(slot, route, demand.work, self.speed.slowdown, self.gate.running)

    def leave(self, admitted_request: AdmittedRequest) -> None:
        """Release the slot of a request."""
        self.gate.leave(admitted_request.slot)

    def sent(self, admitted_request: AdmittedRequest) -> None:
        """Record that a request is sent to the backend server."""
        self.gate.sent(admitted_request.slot)

    def record_completed(self, admitted_request: AdmittedRequest, seconds: float) -> None:
        """Learn from a request that ran to completion in ``seconds``."""
        self.record_abandoned(admitted_request, seconds)
        if self._work_times.is_known(admitted_request.route):
            ratio = seconds / (admitted_request.work * max(1.0, admitted_request.slowdown))
            self._usable_slots.finished(
                self._slots, (admitted_request.running, self.gate.running), ratio
            )
        self._work_times.learn(admitted_request.route, seconds, admitted_request.slowdown)

    def record_abandoned(self, admitted_request: AdmittedRequest, seconds: float) -> None:
        """Learn from a request that was abandoned after running for ``seconds``."""
        self.speed.finished(
            admitted_request.work, seconds, admitted_request.slowdown, self._clock.now()
        )

    def set_slots(self, slots: int) -> None:
        """Set how many requests the backend server can run at once; 0 if not known."""
        self._slots = slots or DEFAULT_SLOTS
        limit = self._usable_slots.limit(self._slots, self._clock.now())
        if limit != self.gate.limit:
            self.gate.set_limit(limit)

    def _may_read(self) -> bool:
        return self._reader.is_reading or self._budget.take(self._clock.now())

    def _start_holding_reads(self) -> None:
        if self._holding_task is None or self._holding_task.done():
            self._holding_task = asyncio.get_running_loop().create_task(
                self._refresh_while_holding()
            )

    async def _refresh_while_holding(self) -> None:
        """Refresh the load while requests wait for a slow period to end."""
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
