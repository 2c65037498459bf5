"""Admission to the slots of one backend server, with a bounded fair queue."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from itertools import islice
from typing import TYPE_CHECKING

from hoisthook.admission.fair_queue import FairQueue
from hoisthook.admission.service_time import ServiceTime
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.identity import CallerId

STALL_FACTOR = 2.5
MIN_STALL_SECONDS = 0.005
STALL_SHARE = 0.5
MIN_STALLED_REQUESTS = 2
PROBE_FACTOR = 2.0
MIN_RETRY_AFTER_SECONDS = 0.002


@dataclass(slots=True, eq=False)
class Ticket:
    """A request at the gate: waiting, running or done.

    Attributes
    ----------
    caller : CallerId
        Caller that sent the request.
    deadline : float
        When it expires, in seconds on the gate's clock.
    on_dequeued : callable
        Called once when a ticket stops waiting: it got a slot (``done`` is False), or it was
        displaced, expired or refused (``done`` is True).
    started : float
        When it got a slot, on the gate's clock; negative before.
    waiting : bool
        Whether it is in the queue.
    done : bool
        Whether it has been released, or left the queue without a slot.
    """

    caller: CallerId
    deadline: float
    on_dequeued: Callable[[], None] | None = None
    started: float = -1.0
    waiting: bool = False
    done: bool = field(default=False)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not admitted, and the seconds after which to retry."""

    code: ResultCode
    retry_after: float


class SlotGate:
    """Admits at most ``limit`` requests at once; others wait briefly or are refused.

    A backend server counts as stalled when at least half of its running
    requests are much older than the typical service time. It then gets one
    request at a time, as a probe, until one completes in about the typical
    time. Requests that started before the end of that probe no longer count as
    evidence of a stall.

    Parameters
    ----------
    slots : int
        Number of slots that the backend server announced.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.limit = slots
        self.queue_limit = 0
        self.service_time = ServiceTime()
        self._stalled = False
        self._probe: Ticket | None = None
        self._recovered_at = -math.inf
        self._running: dict[Ticket, None] = {}
        self._running_by_caller: dict[CallerId, int] = {}
        self._queue = FairQueue(self._running_by_caller)

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def admit(self, ticket: Ticket, now: float, *, may_wait: bool) -> Refusal | None:
        """Grant a slot, enqueue the request, or refuse it.

        Parameters
        ----------
        ticket : Ticket
            The request; ``ticket.waiting`` is set if it is enqueued.
        now : float
            Seconds on the gate's clock.
        may_wait : bool
            Whether it may wait when all slots are taken.

        Returns
        -------
        Refusal or None
            The refusal; None if the request got a slot or waits.
        """
        if self.is_stalled(now):
            return self._admit_probe(ticket, now)
        if len(self._running) < self.limit and not len(self._queue):
            self._start(ticket, now)
            return None
        if not may_wait or self.limit == 0:
            return Refusal(ResultCode.SLOTS_FULL, self._time_to_slot())
        return self._enqueue(ticket, now)

    def release(self, ticket: Ticket, now: float) -> None:
        """Release a slot, or remove a waiting request from the queue."""
        if ticket.done:
            return
        ticket.done = True
        if ticket.waiting:
            self._queue.remove(ticket)
            ticket.waiting = False
            return
        if ticket in self._running:
            del self._running[ticket]
            self._decrement_running(ticket.caller)
            self.service_time.add(now - ticket.started)
        if ticket is self._probe:
            self._judge_probe(ticket, now)
        self._admit_waiting(now)

    def set_limit(self, limit: int, now: float) -> None:
        """Change the limit without affecting running requests."""
        self.limit = limit
        self._admit_waiting(now)

    def is_stalled(self, now: float) -> bool:
        """Return whether the backend server is stalled; refuse the queue when a stall begins."""
        if not self._stalled and self._detects_stall(now):
            self._stalled = True
            self._probe = None
            for waiting in self.refuse_waiting():
                if waiting.on_dequeued is not None:
                    waiting.on_dequeued()
        return self._stalled

    def _detects_stall(self, now: float) -> bool:
        running = len(self._running)
        if running < MIN_STALLED_REQUESTS or not self.service_time.known:
            return False
        bound = max(MIN_STALL_SECONDS, STALL_FACTOR * self.service_time.typical)
        needed = max(MIN_STALLED_REQUESTS, int(running * STALL_SHARE))
        # Tickets are ordered by start time, oldest first.
        oldest = islice(self._running, needed)
        return all(self._recovered_at < t.started < now - bound for t in oldest)

    def _admit_probe(self, ticket: Ticket, now: float) -> Refusal | None:
        if self._probe is not None or len(self._running) >= self.limit:
            return Refusal(ResultCode.BACKEND_SERVER_EJECTED, self.service_time.typical)
        self._probe = ticket
        self._start(ticket, now)
        return None

    def _judge_probe(self, ticket: Ticket, now: float) -> None:
        self._probe = None
        if now - ticket.started <= PROBE_FACTOR * self.service_time.typical:
            self._stalled = False
            self._recovered_at = now

    def refuse_waiting(self) -> list[Ticket]:
        """Empty the queue and return the tickets that waited."""
        tickets = self._queue.clear()
        for ticket in tickets:
            ticket.waiting = False
            ticket.done = True
        return tickets

    def _enqueue(self, ticket: Ticket, now: float) -> Refusal | None:
        wait = self._time_to_slot() * (len(self._queue) + 1)
        if now + wait > ticket.deadline:
            return Refusal(ResultCode.SLOTS_FULL, wait)
        if len(self._queue) >= self.queue_limit:
            displaced = self._queue.displace_for(ticket)
            if displaced is None:
                code = ResultCode.SLOTS_FULL
                if self._queue.over_share(ticket.caller):
                    code = ResultCode.CALLER_OVER_SHARE
                return Refusal(code, wait)
            displaced.waiting = False
            displaced.done = True
            if displaced.on_dequeued is not None:
                displaced.on_dequeued()
        ticket.waiting = True
        self._queue.push(ticket)
        return None

    def _admit_waiting(self, now: float) -> None:
        while len(self._running) < self.limit and len(self._queue):
            ticket = self._queue.pop()
            ticket.waiting = False
            if ticket.deadline <= now:
                ticket.done = True
            else:
                self._start(ticket, now)
            if ticket.on_dequeued is not None:
                ticket.on_dequeued()

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started = now
        self._running[ticket] = None
        count = self._running_by_caller.get(ticket.caller, 0)
        self._running_by_caller[ticket.caller] = count + 1

    def _decrement_running(self, caller: CallerId) -> None:
        count = self._running_by_caller[caller] - 1
        if count:
            self._running_by_caller[caller] = count
        else:
            del self._running_by_caller[caller]

    def _time_to_slot(self) -> float:
        slots = max(1, self.limit)
        return max(MIN_RETRY_AFTER_SECONDS, self.service_time.typical / slots)
