"""Sends requests to the node beside a chosen backend server."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import end_to_end
from hoisthook.background_tasks import BackgroundTasks
from hoisthook.exceptions import UnreachableError
from hoisthook.mesh import hop_header
from hoisthook.mesh.admitted_exchange import AdmittedExchange
from hoisthook.mesh.hop_header import HopHeader
from hoisthook.mesh.node_load import NodeLoad
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.outcome import PendingOutcome
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import BY_NUMBER
from hoisthook.result_code import Ran
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header
    from hoisthook.mesh.backend_link import BackendLink
    from hoisthook.mesh.hop_header import Admission
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog

# Instances are a few milliseconds apart; one that takes longer is down or cut off.
CONNECT_SECONDS = 0.1
DEFAULT_RETRY_SECONDS = 0.05
_CLOSING_CODES = frozenset(
    {
        ResultCode.BACKEND_SERVER_DRAINING,
        ResultCode.NODE_STOPPING,
        ResultCode.DATA_CENTRE_EVACUATED,
    }
)
_FRAMING = frozenset({b"content-length"})


@dataclass(frozen=True, slots=True)
class _Sent:
    """A request on its way to another node."""

    view: PeerView
    call: RoutedCall
    connection: ClientConnection
    moment: float


class PeerHop:
    """Runs a request at a node: in this process if it is beside, else one hop away.

    Parameters
    ----------
    pool : ClientPool
        Connections to other nodes.
    local_backend : BackendLink
        This node's own backend server.
    directory : PeerDirectory
        Told of nodes that are not what they were.
    sync : PeerSync
        Whose configuration version is told to other nodes, and which learns theirs.
    clock : Clock
        Monotonic, the loop's own.
    log : EventLog
        Gets a line for each node that cannot be reached.

    Attributes
    ----------
    leaving : bool
        Whether this node is about to stop.
    """

    def __init__(
        self,
        pool: ClientPool,
        local_backend: BackendLink,
        directory: PeerDirectory,
        sync: PeerSync,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._pool = pool
        self._local_backend = local_backend
        self._directory = directory
        self._sync = sync
        self._clock = clock
        self._log = log
        self._probes = BackgroundTasks()
        self.leaving = False

    def close(self) -> None:
        """Stop the probes that are under way."""
        self._probes.close()

    def probe(self, view: PeerView) -> None:
        """Find out beside the requests whether a suspected node takes connections again."""
        # No second one meanwhile.
        view.close_until(self._clock.now() + CONNECT_SECONDS)
        self._probes.start(self._probe(view))

    async def _probe(self, view: PeerView) -> None:
        connection = await self._open(view)
        if not isinstance(connection, Refused):
            view.connected()
            self._directory.findings.note(view.peer.node, self._clock.now(), reached=True)
            self._pool.keep(view.address, connection)

    async def run(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        """Run the request there and learn from what comes back."""
        outcome: Outcome | PendingOutcome
        view.sent()
        try:
            if view.is_self:
                outcome = await self._local_backend.run(call, admission)
                view.reported(self._local_backend.load(), self._clock.now())
            else:
                outcome = await self._run_remote(view, call, admission)
        finally:
            view.ended()
        self._note(view, outcome)
        return outcome

    def _note(self, view: PeerView, outcome: Outcome | PendingOutcome) -> None:
        now = self._clock.now()
        if isinstance(outcome, CompleteAnswer):
            view.served()
        elif isinstance(outcome, Refused) and outcome.code is ResultCode.UNREACHABLE:
            view.backend_server_away(outcome.retry_after, now)
        elif isinstance(outcome, Refused) and outcome.code in _CLOSING_CODES:
            view.close_until(now + outcome.retry_after)
        elif isinstance(outcome, Refused) and outcome.code is ResultCode.RETRY_BUDGET_SPENT:
            view.no_repeats_until = now + outcome.retry_after

    async def _run_remote(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        connection = await self._connect(view)
        if isinstance(connection, Refused):
            return connection
        now = self._clock.now()
        header = HopHeader(
            service=call.service,
            caller_service=call.caller_service,
            route=call.route,
            request_id=call.request_id,
            admission=admission,
            priority=call.priority,
            time_left=call.time_left(now),
            target_left=call.target_left(now),
            configuration=self._sync.version,
            team=call.team,
            arrival=call.arrival,
            idle_observation=call.idle_observation,
            by_repeat=call.by_repeat,
        )
        exchange = AdmittedExchange(
            connection,
            call,
            (hop_header.HOP, header.encode()),
            held_back=call.held_back or view.may_be_silent(now),
        )
        sent = _Sent(view, call, connection, now)
        answered = await exchange.run(target_left=header.target_left, timeout=header.time_left)
        if answered is not None:
            return self._take(sent, answered)
        view.silent(self._clock.now())
        self._note_unreachable(view)
        self._log.decision("hop_unheard", **self._told(sent))
        return PendingOutcome(asyncio.ensure_future(self._hear_out(sent, exchange)))

    async def _hear_out(self, sent: _Sent, exchange: AdmittedExchange) -> Outcome:
        """Wait for what a silent node says of a request after all."""
        sent.view.sent()
        checking = asyncio.ensure_future(self._close_if_gone(sent))
        try:
            answered = await exchange.await_outcome()
        finally:
            checking.cancel()
            sent.view.ended()
        outcome = self._take(sent, answered)
        if not isinstance(answered, Lost):
            node = sent.view.peer.node
            self._directory.findings.note(node, self._clock.now(), reached=True)
            self._log.decision("hop_heard", **self._told(sent))
        self._note(sent.view, outcome)
        return outcome

    async def _close_if_gone(self, sent: _Sent) -> None:
        """Hear no further where a node takes no connections either, unless this one leaves."""
        opened = await self._open(sent.view)
        if not isinstance(opened, Refused):
            self._pool.keep(sent.view.address, opened)
        elif not self.leaving:
            sent.connection.close()

    def _take(self, sent: _Sent, answered: tuple[AnswerHead, bytes] | Refused | Lost) -> Outcome:
        if isinstance(answered, Lost | Refused):
            self._note_lost(sent, answered)
            return answered
        self._pool.keep(sent.view.address, sent.connection)
        head, body = answered
        return self._read(sent.view, sent.call, head, body)

    async def _connect(self, view: PeerView) -> ClientConnection | Refused:
        connection = self._pool.take_idle(view.address)
        if connection is not None:
            return connection
        return await self._open(view)

    async def _open(self, view: PeerView) -> ClientConnection | Refused:
        try:
            return await self._pool.open(view.address, CONNECT_SECONDS)
        except UnreachableError as error:
            seconds = view.unreachable(self._clock.now())
            self._directory.findings.note(view.peer.node, self._clock.now(), reached=False)
            self._log.event(
                "peer_unreachable", peer=view.peer.node, closed_for=seconds, reason=str(error)
            )
            return Refused(ResultCode.UNREACHABLE, seconds)

    def _note_unreachable(self, view: PeerView) -> None:
        view.unreachable(self._clock.now())
        self._directory.findings.note(view.peer.node, self._clock.now(), reached=False)
        # Other connections to it may be as dead, and each would cost a request as long.
        self._pool.forget(view.address)

    def _note_lost(self, sent: _Sent, lost: Lost | Refused) -> None:
        if isinstance(lost, Refused) or lost.is_silent:
            sent.view.silent(self._clock.now())
        if lost.code is not ResultCode.DEADLINE_DURING_RUN:
            self._note_unreachable(sent.view)
        if isinstance(lost, Refused):
            self._log.decision("hop_silent", code=lost.code.number, **self._told(sent))
            return
        self._log.decision(
            "hop_lost",
            code=lost.code.number,
            admitted=lost.admitted,
            silent=lost.is_silent,
            leaving=self.leaving,
            **self._told(sent),
        )

    def _told(self, sent: _Sent) -> dict[str, object]:
        """Return what each line about a request at another node says."""
        return {
            "request": sent.call.request_id,
            "peer": sent.view.peer.node,
            "waited_ms": round((self._clock.now() - sent.moment) * 1000.0, 1),
        }

    def _read(self, view: PeerView, call: RoutedCall, head: AnswerHead, body: bytes) -> Outcome:
        load = NodeLoad.decode(head.get(hop_header.LOAD) or b"")
        if load is not None:
            view.reported(load, self._clock.now())
            self._sync.heard(view.address, load.configuration)
            if load.over_repeat_budget:
                self._local_backend.repeats.callee_over_budget(call)
        result = head.get(hop_header.RESULT)
        if result is None:
            if load is None:
                # Something else than a node answers there now.
                self._directory.forget(view.peer.node, "not a node")
                return Lost(ResultCode.ANSWER_SPOILED)
            return CompleteAnswer(head.status, _backend_headers(head), body)
        code = BY_NUMBER.get(int(result)) if result.isdigit() else None
        if code is None or code.ran is not Ran.NOT_RUN:
            return Lost(code or ResultCode.ANSWER_SPOILED)
        if code is ResultCode.SERVICE_ELSEWHERE:
            self._directory.forget(view.peer.node, "serves another service")
        retry_after = head.get(hop_header.RETRY_AFTER_MS) or b""
        seconds = int(retry_after) / 1000.0 if retry_after.isdigit() else DEFAULT_RETRY_SECONDS
        return Refused(code, seconds)


def _backend_headers(head: AnswerHead) -> list[Header]:
    headers = end_to_end(head.headers)
    return [(n, v) for n, v in headers if n != hop_header.LOAD and n not in _FRAMING]
