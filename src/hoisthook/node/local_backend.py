"""Admission to the local backend server, and the execution of calls there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.admission.backend_server_state import BackendServerState
from hoisthook.admission.backend_server_state import Phase
from hoisthook.admission.slot_gate import SlotGate
from hoisthook.admission.slot_gate import Ticket
from hoisthook.exceptions import UnreachableError
from hoisthook.node import wire
from hoisthook.node.announcement_order import AnnouncementOrder
from hoisthook.node.answer import Answer
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.node.exchanger import Exchanger
from hoisthook.result_code import ResultCode
from hoisthook.routing.load_view import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.message import Header
    from hoisthook.identity import Address
    from hoisthook.node.attempt import Attempt
    from hoisthook.node.call import Call
    from hoisthook.node.crash_guard import CrashGuard
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness

CONNECT_SECONDS = 0.25
DRAINING_RETRY_SECONDS = 1.0
UNREACHABLE_RETRY_SECONDS = 0.25
SHED_STATUS = 503
SHED_RETRY_SECONDS = 0.05
UNLIMITED = 1_000_000
FAILURE_STATUSES = frozenset({500, 502, 503, 504})

RunResult = Answer | Refused | Lost


class LocalBackend:
    """Admits calls to the local backend server and runs them there.

    Parameters
    ----------
    pool : ClientPool
        Connections to the backend server.
    crashes : CrashGuard
        Records lost and successful calls, and refuses work that crashes backend servers.
    clock : Clock
        Monotonic; the event loop's clock.
    randomness : Randomness
        Decides which calls a backend server on probation gets.
    admission : bool
        False admits every call; for comparisons.
    """

    def __init__(
        self,
        pool: ClientPool,
        crashes: CrashGuard,
        clock: Clock,
        randomness: Randomness,
        *,
        admission: bool = True,
    ) -> None:
        self._pool = pool
        self._crashes = crashes
        self._clock = clock
        self._admission = admission
        self.state = BackendServerState(randomness)
        self.gate = SlotGate(0)
        self.backend_server = ""
        self.service = ""
        self.address: Address = ("", 0)
        self.foreign_load = 0
        self.share_of: Callable[[int], int] = lambda limit: limit
        self.operator_drain = False
        self.draining_announced = False
        self._uptime = 0.0
        self._order = AnnouncementOrder()
        self.started = 0
        self.finished = 0

    def announced(
        self,
        backend_server: str,
        service: str,
        address: Address,
        slots: int,
        *,
        draining: bool,
        uptime: float = 0.0,
    ) -> bool:
        """Apply an announcement of the backend server, unless one that was sent later has arrived.

        Returns
        -------
        bool
            False if another backend server is already announced at this node.
        """
        self.state.tick(self._clock.now())
        current = self.backend_server
        if current not in ("", backend_server) and self.state.phase is not Phase.ABSENT:
            return False
        if self._order.is_late(backend_server, uptime, self._clock.now()):
            return True
        self.backend_server = backend_server
        self.service = service
        self.address = address
        self.gate.slots = slots
        self.draining_announced = draining
        self._uptime = uptime
        self._apply_announcement()
        self._crashes.announced(service, address, uptime, takes_work=self.takes_work())
        return True

    def set_operator_drain(self, drained: bool) -> None:
        """Set whether operators have drained the backend server."""
        if drained == self.operator_drain:
            return
        self.operator_drain = drained
        if self.state.phase is not Phase.ABSENT:
            self._apply_announcement()

    def _apply_announcement(self) -> None:
        draining = self.draining_announced or self.operator_drain
        self.state.announced(self._clock.now(), draining=draining, uptime=self._uptime)

    def takes_work(self) -> bool:
        """Return whether other nodes should send work to the backend server."""
        self.state.tick(self._clock.now())
        return self.state.phase not in (Phase.ABSENT, Phase.DRAINING)

    def report(self) -> LoadReport:
        """Return the current load."""
        gate = self.gate
        return LoadReport(gate.running, gate.limit, gate.waiting, gate.service_time.typical)

    async def run(self, call: Call, attempt: Attempt) -> RunResult:
        """Run a call at the backend server; `Refused` only if it was certainly not run."""
        now = self._clock.now()
        refused = self._refuse_by_phase(call, now) or self._crashes.refuse(call)
        if refused is not None:
            return refused
        self._set_limits(call, now)
        ticket = Ticket(call.caller, call.deadline)
        refusal = self.gate.admit(ticket, now, may_wait=attempt.may_wait)
        if refusal is not None:
            return Refused(refusal.code, refusal.retry_after)
        if ticket.waiting:
            await self._wait_for_slot(ticket, attempt)
            if ticket.started < 0:
                return Refused(ResultCode.SLOTS_FULL, self.gate.service_time.typical)
        return await self._run_admitted(call, attempt, ticket)

    def tick(self) -> None:
        """Update the phase and its limits to the current time."""
        now = self._clock.now()
        self.state.tick(now)
        if self.state.phase in (Phase.ABSENT, Phase.DRAINING):
            for ticket in self.gate.refuse_waiting():
                if ticket.on_dequeued is not None:
                    ticket.on_dequeued()
        self.gate.is_stalled(now)

    def _refuse_by_phase(self, call: Call, now: float) -> Refused | None:
        if call.spec.name != self.service:
            return Refused(ResultCode.NO_BACKEND_SERVER, DRAINING_RETRY_SECONDS)
        if now >= call.deadline:
            return Refused(ResultCode.DEADLINE_PASSED, 0.0)
        if not self._admission or self.state.admits_request(now):
            return None
        if self.state.phase in (Phase.DRAINING, Phase.ABSENT):
            return Refused(ResultCode.BACKEND_SERVER_DRAINING, DRAINING_RETRY_SECONDS)
        return Refused(ResultCode.BACKEND_SERVER_EJECTED, UNREACHABLE_RETRY_SECONDS)

    def _set_limits(self, call: Call, now: float) -> None:
        gate = self.gate
        if not self._admission:
            gate.limit = UNLIMITED
            return
        slots = gate.slots
        configured = call.spec.concurrency_per_backend_server
        if configured:
            slots = min(slots, configured)
        if call.spec.concurrency_limit:
            slots = min(slots, self.share_of(call.spec.concurrency_limit))
        limit = min(slots, max(1, self.state.limit_of(slots, now) - self.foreign_load))
        queue = call.spec.queue_per_backend_server
        gate.queue_limit = queue if queue >= 0 else slots
        if limit != gate.limit:
            gate.set_limit(limit, now)

    async def _wait_for_slot(self, ticket: Ticket, attempt: Attempt) -> None:
        loop = asyncio.get_running_loop()
        admitted: asyncio.Future[None] = loop.create_future()

        def wake() -> None:
            if not admitted.done():
                admitted.set_result(None)

        ticket.on_dequeued = wake
        attempt.on_abandon(wake)
        timer = loop.call_later(max(0.0, ticket.deadline - self._clock.now()), wake)
        try:
            await admitted
        except asyncio.CancelledError:
            self.gate.release(ticket, self._clock.now())
            raise
        finally:
            timer.cancel()
        if ticket.waiting:
            self.gate.release(ticket, self._clock.now())

    async def _run_admitted(self, call: Call, attempt: Attempt, ticket: Ticket) -> RunResult:
        connection: ClientConnection | None = None
        try:
            connection = self._pool.take_idle(self.address)
            if connection is None:
                connection = await self._pool.open(self.address, CONNECT_SECONDS)
            now = self._clock.now()
            if attempt.abandoned or now >= call.deadline:
                self._release(ticket, connection, keep=True, failed=None)
                return Refused(ResultCode.DEADLINE_PASSED, 0.0)
            return await self._exchange(call, attempt, ticket, connection, now)
        except UnreachableError:
            self._release(ticket, None, keep=False, failed=True)
            return Refused(ResultCode.UNREACHABLE, UNREACHABLE_RETRY_SECONDS)
        except asyncio.CancelledError:
            self._release(ticket, connection, keep=False, failed=None)
            raise

    async def _exchange(
        self,
        call: Call,
        attempt: Attempt,
        ticket: Ticket,
        connection: ClientConnection,
        now: float,
    ) -> RunResult:
        exchanger = Exchanger(call, self._headers_for(call, attempt, now))
        self.started += 1
        instance = self._crashes.instance
        head = await exchanger.send(connection, attempt, now)
        if isinstance(head, Lost):
            deadline_passed = self._clock.now() >= call.deadline
            failed = None if deadline_passed or attempt.abandoned else True
            self._release(ticket, connection, keep=False, failed=failed)
            if failed and call.is_complete:
                self._crashes.request_lost(call, instance)
            return Lost(ResultCode.DEADLINE_DURING_RUN) if deadline_passed else head
        self._crashes.answered(instance, now)
        if head.status == SHED_STATUS and head.get(wire.SHED) is not None:
            exchanger.stop()
            self._release(ticket, connection, keep=connection.body.complete, failed=None)
            return Refused(ResultCode.BACKEND_SERVER_SHED, SHED_RETRY_SECONDS)
        if not (head.is_framed or call.method == b"HEAD"):
            exchanger.stop()
            self._release(ticket, connection, keep=False, failed=True)
            return Lost(ResultCode.ANSWER_UNFRAMED)
        failed = head.status in FAILURE_STATUSES

        def finish(fully_read: bool) -> None:
            exchanger.stop()
            self.finished += 1
            if fully_read and not failed and call.is_complete:
                self._crashes.request_succeeded(call)
            self._release(ticket, connection, keep=fully_read, failed=failed)

        return Answer(head, connection.body, self.backend_server, finish)

    def _headers_for(self, call: Call, attempt: Attempt, now: float) -> list[Header]:
        remaining = int((call.deadline - now) * 1000)
        headers = list(call.headers)
        headers.append((b"hoisthook-timeout-ms", b"%d" % max(1, remaining)))
        headers.append((b"hoisthook-request-id", call.request_id.encode()))
        if attempt.hedge or call.under_hedge:
            headers.append((b"hoisthook-hedge", b"1"))
        return headers

    def _release(
        self,
        ticket: Ticket,
        connection: ClientConnection | None,
        *,
        keep: bool,
        failed: bool | None,
    ) -> None:
        now = self._clock.now()
        if connection is None or keep:
            if connection is not None:
                self._pool.keep(self.address, connection)
            self.gate.release(ticket, now)
        else:
            # The backend server works on a cancelled request until it notices that the
            # connection is closed, so the request keeps its slot until then.
            connection.close()
            connection.on_fully_closed(lambda: self.gate.release(ticket, self._clock.now()))
        if failed is not None:
            self.state.answered(now, failed=failed)
