"""Sends admitted requests to the local backend server and records the result."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.admission.running_requests import RunningRequest
from hoisthook.exceptions import UnreachableError
from hoisthook.local_backend.exit_detector import LostRequest
from hoisthook.mesh.backend_notices import AnswerSource
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.mesh.health_reader import CONNECT_SECONDS
from hoisthook.mesh.health_reader import UNREACHABLE_BACKOFF_SECONDS
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
    from hoisthook.mesh.backend_notices import BackendNotices
    from hoisthook.mesh.observed_backend import ObservedBackend
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.backend_wire import BackendWire
    from hoisthook.port.backend_wire import DecodedAnswerHead
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog

FIRST_ERROR_STATUS = 400
FAILURE_STATUS = 500
# A connection that breaks within this share of the expected service time was dropped before the
# backend server worked on the request.
DROPPED_SHARE_OF_WORK = 0.1
REPLACED_RETRY_SECONDS = 0.02
# Enough of a target to find the request in an access log.
MAX_LOGGED_TARGET_BYTES = 120


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Outcome of a request that was admitted.

    Attributes
    ----------
    outcome : CompleteAnswer, Refused or Lost
        The answer, or why there is none.
    seconds : float
        Time from sending the request to its outcome; 0 if it was not sent.
    """

    outcome: Outcome
    seconds: float = 0.0


class BackendExchanges:
    """Exchanges with the backend server, one request at a time on each connection.

    Parameters
    ----------
    address : Address
        Where the backend server listens.
    wire : BackendWire
        Protocol of the backend server.
    pool : ClientPool
        Connections to the backend server.
    observed_backend : ObservedBackend
        Notified of answers and lost requests.
    speed : ServerSpeed
        Notified of the reported slowdown.
    running : RunningRequests
        Notified of requests that start and end there, and of the reported load.
    exit_detector : ExitDetector
        Notified of lost requests and of answers.
    notices : BackendNotices
        Notified of limits and of a backend server that leaves.
    clock : Clock
        Monotonic, the event loop's own.
    log : EventLog
        Receives a record of each answer and each lost request.
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
        notices: BackendNotices,
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
        self._notices = notices
        self._clock = clock
        self._log = log

    async def connect(self) -> ClientConnection | Refused:
        """Return an open connection, or a refusal if none can be opened."""
        connection = self._pool.take_idle(self._address)
        if connection is not None:
            return connection
        try:
            return await self._pool.open(self._address, CONNECT_SECONDS)
        except UnreachableError:
            self._observed_backend.unreachable(self._clock.now(), UNREACHABLE_BACKOFF_SECONDS)
            return Refused(ResultCode.UNREACHABLE, UNREACHABLE_BACKOFF_SECONDS)

    async def run(
        self,
        call: RoutedCall,
        connection: ClientConnection,
        *,
        admitted_request: AdmittedRequest,
        sent: Callable[[], None],
    ) -> ExchangeResult:
        """Send a request and process its answer.

        Parameters
        ----------
        call : RoutedCall
            Request that was admitted.
        connection : ClientConnection
            Idle connection to the backend server.
        admitted_request : AdmittedRequest
            Slot and expected service time of the request.
        sent : callable
            Called just before the request is sent.
        """
        started = self._clock.now()
        reused = connection.exchanges > 0
        time_left = call.time_left(started)
        if time_left <= 0:
            self._pool.keep(self._address, connection)
            return ExchangeResult(Refused(ResultCode.DEADLINE_PASSED, 0.0))
        sent()
        instance = self._observed_backend.instance
        sent_at = self._observed_backend.evidence.now()
        answer = await self._exchange(call, connection, time_left)
        seconds = self._clock.now() - started
        if isinstance(answer, Lost):
            is_dropped = seconds < DROPPED_SHARE_OF_WORK * admitted_request.work
            self._record_lost(call, answer, instance, seconds, is_dropped=is_dropped, reused=reused)
            return ExchangeResult(answer, seconds)
        self._pool.keep(self._address, connection)
        head, body = answer
        self._observed_backend.has_answered = True
        reading = self._wire.read(head)
        if reading.kind is not AnswerKind.OTHER_INSTANCE:
            self._exit_detector.answered(instance, started)
        answered_by = _answered_by(reading, head.status, instance)
        if answered_by is not None:
            self._observed_backend.answered_as(answered_by, sent_at)
        outcome = self._read_answer(call, reading, head.status, body)
        if reading.kind is not AnswerKind.SPOILED:
            self._notices.apply(
                reading.notice,
                AnswerSource.REQUEST,
                reading.instance or instance,
                requested_at=started,
                now=self._clock.now(),
            )
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
        added_headers = self._wire.added_headers(
            BackendRequestHead(
                self._observed_backend.instance, call.caller_service, time_left, call.team
            )
        )
        running_request = RunningRequest(call.request_id, call.route, call.priority, call.repeat)
        self._running.begin(running_request)
        try:
            return await exchange_buffered(
                connection,
                call.method,
                call.target,
                [*call.headers, *added_headers],
                call.body,
                timeout=time_left,
                accepts=lambda head: self._wire.answers(head, call.request_id),
            )
        finally:
            self._running.end(running_request)

    def _record_lost(
        self,
        call: RoutedCall,
        lost: Lost,
        instance: InstanceId | None,
        seconds: float,
        *,
        is_dropped: bool,
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
            target=call.target[:MAX_LOGGED_TARGET_BYTES].decode("latin-1"),
            bytes=len(call.body),
        )
        if lost.code is not ResultCode.DEADLINE_DURING_RUN:
            self._record_broken_connection(is_dropped=is_dropped, reused=reused)
            if instance is not None:
                lost_request = LostRequest(call.request_id, call.work, instance, self._clock.now())
                self._exit_detector.request_lost(lost_request)

    def _record_broken_connection(self, *, is_dropped: bool, reused: bool) -> None:
        if not is_dropped:
            self._observed_backend.answered(failed=True)
        elif reused:
            # The server had closed this idle connection, and may have closed the others too.
            self._pool.forget(self._address)
        else:
            self._observed_backend.dropped(self._clock.now())

    def _read_answer(
        self, call: RoutedCall, reading: DecodedAnswerHead, status: int, body: bytes
    ) -> Outcome:
        if reading.load is not None:
            self._observed_backend.load_reported(reading.load)
            self._running.reported(reading.load.running + reading.load.waiting)
            self._speed.slow_periods.reported(reading.load.slowdown, self._clock.now())
        match reading.kind:
            case AnswerKind.OTHER_INSTANCE:
                return Refused(ResultCode.BACKEND_SERVER_REPLACED, REPLACED_RETRY_SECONDS)
            case AnswerKind.NOT_RUN:
                return Refused(ResultCode.BACKEND_SERVER_SHED, 0.0)
            case AnswerKind.SPOILED:
                self._observed_backend.answered(failed=True)
                self._log.decision(
                    "backend_spoiled", request=call.request_id, status=status, bytes=len(body)
                )
                return Lost(ResultCode.ANSWER_SPOILED)
            case AnswerKind.OWN:
                self._observed_backend.answered(failed=status >= FAILURE_STATUS)
                return CompleteAnswer(status, reading.headers, body)


def _answered_by(
    reading: DecodedAnswerHead, status: int, expected: InstanceId | None
) -> InstanceId | None:
    """Return the incarnation that gave an answer; None if the answer does not show it.

    Only the expected incarnation executes a request. Any other may reject it for lack of slots as
    well as for the name.
    """
    if reading.kind is AnswerKind.SPOILED:
        return None
    has_executed = reading.kind is AnswerKind.OWN and status < FIRST_ERROR_STATUS
    return reading.instance or (expected if has_executed else None)
