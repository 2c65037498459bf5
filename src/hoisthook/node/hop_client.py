"""Sends attempts to the node of the chosen backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.adapter.http.node_connections import IdentityError
from hoisthook.exceptions import UnreachableError
from hoisthook.identity import Incarnation
from hoisthook.node import wire
from hoisthook.node.answer import Answer
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.node.exchanger import Exchanger
from hoisthook.node.older_nodes import OLDER_NODE_REFUSALS
from hoisthook.result_code import BY_NUMBER
from hoisthook.result_code import Ran
from hoisthook.result_code import ResultCode
from hoisthook.routing.load_view import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.node_connections import NodeConnections
    from hoisthook.node.attempt import Attempt
    from hoisthook.node.call import Call
    from hoisthook.node.local_backend import LocalBackend
    from hoisthook.node.local_backend import RunResult
    from hoisthook.port.clock import Clock
    from hoisthook.routing.candidate import Candidate

CONNECT_SECONDS = 0.25
UNREACHABLE_RETRY_SECONDS = 0.25
DEFAULT_RETRY_SECONDS = 0.05
LOST_BACKOFF_SECONDS = 0.25
REPLACED_RETRY_SECONDS = 1.0


class HopClient:
    """Runs an attempt at a candidate: in this process if it is local, else over one hop.

    Parameters
    ----------
    pool : ClientPool
        Keeps the connections to other nodes.
    connections : NodeConnections
        Opens and identifies them.
    local_backend : LocalBackend
        This node's own backend server.
    clock : Clock
        Monotonic; the event loop's clock.
    incarnation : Incarnation
        This node's.
    """

    def __init__(
        self,
        pool: ClientPool,
        connections: NodeConnections,
        local_backend: LocalBackend,
        clock: Clock,
        incarnation: Incarnation,
    ) -> None:
        self._pool = pool
        self._connections = connections
        self._local_backend = local_backend
        self._clock = clock
        self._incarnation = incarnation

    async def run(self, candidate: Candidate, call: Call, attempt: Attempt) -> RunResult:
        """Run the attempt and update the candidate's load view with the result."""
        view = candidate.view
        view.sent()
        released = False

        def release() -> None:
            nonlocal released
            if not released:
                released = True
                view.ended()

        try:
            if candidate.local:
                result = await self._local_backend.run(call, attempt)
                view.reported(self._local_backend.report(), self._clock.now())
            else:
                result = await self._run_remote(candidate, call, attempt)
        except BaseException:
            release()
            raise
        if not isinstance(result, Answer):
            release()
            return result
        return _releasing_when_finished(result, release)

    async def _run_remote(self, candidate: Candidate, call: Call, attempt: Attempt) -> RunResult:
        try:
            connection = await self._connections.acquire(
                candidate.address, candidate.member.incarnation, CONNECT_SECONDS
            )
        except IdentityError as error:
            return _identity_refusal(error)
        except UnreachableError:
            return Refused(ResultCode.UNREACHABLE, UNREACHABLE_RETRY_SECONDS)
        sent = self._clock.now()
        if attempt.abandoned or sent >= call.deadline:
            self._pool.keep(candidate.address, connection)
            return Refused(ResultCode.DEADLINE_PASSED, 0.0)
        exchanger = Exchanger(call, self._headers(candidate, call, attempt, sent))
        head = await exchanger.send(connection, attempt, sent)
        if isinstance(head, Lost):
            if self._clock.now() >= call.deadline:
                return Lost(ResultCode.DEADLINE_DURING_RUN)
            if not attempt.abandoned:
                candidate.view.close_until(self._clock.now() + LOST_BACKOFF_SECONDS)
            return head
        return self._read_head(candidate, connection, exchanger, head, sent)

    def _headers(
        self, candidate: Candidate, call: Call, attempt: Attempt, now: float
    ) -> list[Header]:
        header = wire.AttemptHeader(
            sender=self._incarnation,
            number=attempt.number,
            target=Incarnation(candidate.member.incarnation),
            may_wait=attempt.may_wait,
            repeatable=call.repeatable,
            hedge=attempt.hedge or call.under_hedge,
        )
        remaining = (call.deadline - now) * 1000.0
        return [
            *call.headers,
            (wire.ATTEMPT, header.encode()),
            (wire.SERVICE, call.spec.name.encode()),
            (wire.CALLER, call.caller.encode()),
            (wire.TIMEOUT_MS, b"%.3f" % remaining),
            (wire.REQUEST_ID, call.request_id.encode()),
        ]

    def _read_head(
        self,
        candidate: Candidate,
        connection: ClientConnection,
        exchanger: Exchanger,
        head: AnswerHead,
        sent: float,
    ) -> RunResult:
        now = self._clock.now()
        own_headers: dict[bytes, bytes] = {
            name: value for name, value in head.headers if name.startswith(wire.OWN_PREFIX)
        }
        report = LoadReport.decode(own_headers.get(wire.LOAD, b""))
        if report is not None:
            candidate.view.reported(report, now)

        def finish(fully_read: bool) -> None:
            exchanger.stop()
            if fully_read:
                self._pool.keep(candidate.address, connection)
            else:
                connection.close()

        result = own_headers.get(wire.RESULT)
        if result is not None:
            finish(fully_read=connection.body.complete)
            return _failure(result, own_headers)
        if report is None:
            # A node adds its load to every answer, so a program other than a node answers here.
            finish(fully_read=False)
            candidate.view.close_until(now + LOST_BACKOFF_SECONDS)
            return Lost(ResultCode.ANSWER_SPOILED)
        node_micros = own_headers.get(wire.INSIDE_MICROS, b"")
        if node_micros.isdigit():
            candidate.view.took(now - sent, int(node_micros) / 1e6)
        ran_by = own_headers.get(wire.RAN_BY, b"").decode("latin-1")
        return Answer(head, connection.body, ran_by, finish)


def _identity_refusal(error: IdentityError) -> Refused:
    if error.other_node is not None:
        return Refused(ResultCode.INCARNATION_MISMATCH, REPLACED_RETRY_SECONDS)
    result = error.answer.get(wire.RESULT)
    refused = None if result is None else _failure(result, dict(error.answer.headers))
    if isinstance(refused, Refused) and refused.code in OLDER_NODE_REFUSALS:
        return refused
    return Refused(ResultCode.UNREACHABLE, UNREACHABLE_RETRY_SECONDS)


def _failure(result: bytes, own_headers: dict[bytes, bytes]) -> Refused | Lost:
    number = result.split(b" ", 1)[0]
    code = BY_NUMBER.get(int(number)) if number.isdigit() else None
    if code is None:
        return Lost(ResultCode.ANSWER_LOST)
    if code.ran is not Ran.NOT_RUN:
        return Lost(code)
    retry_after = own_headers.get(wire.RETRY_AFTER_MS, b"")
    seconds = int(retry_after) / 1000.0 if retry_after.isdigit() else DEFAULT_RETRY_SECONDS
    return Refused(code, seconds)


def _releasing_when_finished(answer: Answer, release: Callable[[], None]) -> Answer:
    def finish(fully_read: bool) -> None:
        answer.finish(fully_read=fully_read)
        release()

    return Answer(answer.head, answer.body, answer.ran_by, finish)
