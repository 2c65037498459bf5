"""Sends admitted requests to the backend server beside, and learns from its answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.admission.running_requests import RunningRequest
from hoisthook.exceptions import UnreachableError
from hoisthook.local_backend.exit_detector import LostRequest
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.mesh.health_reader import CONNECT_SECONDS
from hoisthook.mesh.health_reader import UNREACHABLE_SECONDS
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.port.backend_wire import AnswerKind
from hoisthook.port.backend_wire import BackendRequestHead
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.admission.admitter import AdmittedRequest
    from hoisthook.admission.running_requests import RunningRequests
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.identity import Address
    from hoisthook.identity import InstanceId
    from hoisthook.local_backend.exit_detector import ExitDetector
    from hoisthook.mesh.observed_backend import ObservedBackend
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.backend_wire import BackendWire
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog

FAILURE_STATUS = 500
# A request whose connection drops within this share of its usual work time was not worked on.
DROPPED_SHARE_OF_WORK = 0.1
REPLACED_RETRY_SECONDS = 0.02
# Enough to find the work in a log of requests.
MAX_LOGGED_TARGET = 120


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """What became of a request that was admitted.

    Attributes
    ----------
    outcome : CompleteAnswer, Refused or Lost
        The last word.
    seconds : float
        How long that took.
    """

    outcome: Outcome
    seconds: float = 0.0


class BackendExchanges:
    """One request and its answer at a time on each connection to the backend server.

    Parameters
    ----------
    address : Address
        Where it listens.
    wire : BackendWire
        How it is spoken to.
    pool : ClientPool
        Connections to it.
    observed_backend : ObservedBackend
        Told of answers and losses.
    speed : ServerSpeed
        Told of its load.
    running : RunningRequests
        Told of what runs there.
    exit_detector : ExitDetector
        Told of what was lost there, and of answers.
    clock : Clock
        Monotonic, the loop's own.
    log : EventLog
        Gets a line for each answer and each loss.
    """

    def __init__(
        self,
        address: Address,
        wire: BackendWire,
        pool: ClientPool,
        observed_backend: ObservedBackend,
        speed: ServerSpeed,
        running: RunningRequests,
        exit_detector: ExitDetector,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._address = address
        self._wire = wire
        self._pool = pool
        self._observed_backend = observed_backend
        self._speed = speed
        self._running = running
        self._exit_detector = exit_detector
        self._clock = clock
        self._log = log

    async def connect(self) -> ClientConnection | Refused:
        """Return a connection, or why there is none."""
        connection = self._pool.take_idle(self._address)
        if connection is not None:
            return connection
        try:
            return await self._pool.open(self._address, CONNECT_SECONDS)
        except UnreachableError:
            self._observed_backend.unreachable(self._clock.now(), UNREACHABLE_SECONDS)
            return Refused(ResultCode.UNREACHABLE, UNREACHABLE_SECONDS)

    async def run(
        self,
        call: RoutedCall,
        connection: ClientConnection,
        *,
        admitted_request: AdmittedRequest,
        sent: Callable[[], None],
    ) -> ExchangeResult:
        """Send a request and take in its answer.

        Parameters
        ----------
        call : RoutedCall
            Admitted.
        connection : ClientConnection
            Idle.
        admitted_request : AdmittedRequest
            What it was admitted to.
        sent : callable
            Told when it goes out.
        """
        started = self._clock.now()
        reused = connection.exchanges > 0
        time_left = call.time_left(started)
        if time_left <= 0:
            self._pool.keep(self._address, connection)
            return ExchangeResult(Refused(ResultCode.DEADLINE_PASSED, 0.0))
        sent()
        instance = self._observed_backend.instance
        answered = await self._exchange(call, connection, time_left)
        seconds = self._clock.now() - started
        if isinstance(answered, Lost):
            at_once = seconds < DROPPED_SHARE_OF_WORK * admitted_request.work
            self._note_lost(call, answered, instance, seconds, at_once=at_once, reused=reused)
            return ExchangeResult(answered, seconds)
        self._pool.keep(self._address, connection)
        self._exit_detector.answered(instance, started)
        head, body = answered
        outcome = self._read_answer(call, head, body)
        self._log.decision(
            "backend_answered",
            request=call.request_id,
            status=head.status,
            took_ms=round(seconds * 1000.0, 1),
            expected_ms=round(admitted_request.slot.work * 1000.0, 1),
        )
        return ExchangeResult(outcome, seconds)

    async def _exchange(
        self, call: RoutedCall, connection: ClientConnection, time_left: float
    ) -> tuple[AnswerHead, bytes] | Lost:
        added = self._wire.added_headers(
            BackendRequestHead(
                self._observed_backend.instance, call.caller_service, time_left, call.team
            )
        )
        running = RunningRequest(call.request_id, call.route, call.priority, call.repeat)
        self._running.begin(running)
        try:
            return await exchange_buffered(
                connection,
                call.method,
                call.target,
                [*call.headers, *added],
                call.body,
                timeout=time_left,
                accepts=lambda head: self._wire.answers(head, call.request_id),
            )
        finally:
            self._running.end(running)

    def _note_lost(
        self,
        call: RoutedCall,
        lost: Lost,
        instance: InstanceId | None,
        seconds: float,
        *,
        at_once: bool,
        reused: bool,
    ) -> None:
        self._log.decision(
            "backend_lost",
            request=call.request_id,
            code=lost.code.number,
            instance=instance,
            took_ms=round(seconds * 1000.0, 1),
            work=call.work,
            method=call.method.decode("latin-1"),
            target=call.target[:MAX_LOGGED_TARGET].decode("latin-1"),
            bytes=len(call.body),
        )
        if lost.code is not ResultCode.DEADLINE_DURING_RUN:
            self._note_broken(at_once=at_once, reused=reused)
            if instance is not None:
                lost_request = LostRequest(call.request_id, call.work, instance, self._clock.now())
                self._exit_detector.broken(lost_request)

    def _note_broken(self, *, at_once: bool, reused: bool) -> None:
        if not at_once:
            self._observed_backend.answered(failed=True)
        elif reused:
            # It has let go of this idle connection, and so perhaps of the others.
            self._pool.forget(self._address)
        else:
            self._observed_backend.dropped(self._clock.now())

    def _read_answer(self, call: RoutedCall, head: AnswerHead, body: bytes) -> Outcome:
        reading = self._wire.read(head)
        if reading.load is not None:
            self._observed_backend.loaded(reading.load)
            self._running.reported(reading.load.running + reading.load.waiting)
            self._speed.slow_periods.reported(reading.load.slowdown, self._clock.now())
        match reading.kind:
            case AnswerKind.OTHER_INSTANCE:
                if reading.instance is not None:
                    self._observed_backend.answered_as(reading.instance)
                return Refused(ResultCode.BACKEND_SERVER_REPLACED, REPLACED_RETRY_SECONDS)
            case AnswerKind.NOT_RUN:
                return Refused(ResultCode.BACKEND_SERVER_SHED, 0.0)
            case AnswerKind.SPOILED:
                self._observed_backend.answered(failed=True)
                self._log.decision(
                    "backend_spoiled", request=call.request_id, status=head.status, bytes=len(body)
                )
                return Lost(ResultCode.ANSWER_SPOILED)
            case AnswerKind.OWN:
                self._observed_backend.answered(failed=head.status >= FAILURE_STATUS)
                return CompleteAnswer(head.status, reading.headers, body)
