"""Sends requests to the node of a chosen backend server."""

from __future__ import annotations

import asyncio
import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import end_to_end
from hoisthook.adapter.http.node_connections import IdentityError
from hoisthook.adapter.http.node_connections import NodeConnections
from hoisthook.background_tasks import BackgroundTasks
from hoisthook.exceptions import UnreachableError
from hoisthook.mesh import hop_header
from hoisthook.mesh.admitted_exchange import AdmittedExchange
from hoisthook.mesh.hop_header import HopHeader
from hoisthook.mesh.node_load import NodeLoad
from hoisthook.mesh.older_nodes import OlderMeshNodes
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
    from hoisthook.port.backend_wire import BackendWire
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog

# Instances are a few milliseconds apart; one that takes longer is down or partitioned.
CONNECT_SECONDS = 0.1
DEFAULT_RETRY_SECONDS = 0.05
# A node whose backend server has said that it leaves is asked again after this time, when it either
# refuses or has another backend server.
LEAVING_SECONDS = 1.0
_CLOSING_CODES = frozenset(
    {
        ResultCode.BACKEND_SERVER_DRAINING,
        ResultCode.NODE_STOPPING,
        ResultCode.DATA_CENTRE_EVACUATED,
    }
)
_FRAMING = frozenset({b"content-length"})


@dataclass(frozen=True, slots=True)
class _SentRequest:
    """A request that has been sent to another node."""

    view: PeerView
    call: RoutedCall
    connection: ClientConnection
    sent_at: float


class PeerHop:
    """Runs requests at the local backend server, or one hop away at another node's.

    Parameters
    ----------
    pool : ClientPool
        Connections to other nodes.
    local_backend : BackendLink
        Link to the local backend server.
    directory : PeerDirectory
        Known nodes; notified of those that are unreachable or serve something else by now.
    sync : PeerSync
        Provides the configuration version that is sent to other nodes, and receives theirs.
    wire : BackendWire
        Decodes what backend servers say about themselves in answers.
    clock : Clock
        Monotonic clock of the event loop.
    log : EventLog
        Receives an entry for each node that is unreachable or silent, or that loses a request.

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
        wire: BackendWire,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._pool = pool
        self._connections = NodeConnections(pool, OlderMeshNodes())
        self._local_backend = local_backend
        self._directory = directory
        self._sync = sync
        self._wire = wire
        self._clock = clock
        self._log = log
        self._probes = BackgroundTasks()
        self.leaving = False

    def close(self) -> None:
        """Cancel the running probes."""
        self._probes.close()

    def probe(self, view: PeerView) -> None:
        """Test in the background whether a suspected node accepts connections again."""
        # Prevents a second probe while this one runs.
        view.close_until(self._clock.now() + CONNECT_SECONDS)
        self._probes.start(self._probe(view))

    async def _probe(self, view: PeerView) -> None:
        try:
            connection = await self._connections.acquire(
                view.address, view.peer.node, CONNECT_SECONDS
            )
        except IdentityError as error:
            self._record_wrong_node(view, error)
        except UnreachableError as error:
            self._refuse_unreachable(view, error)
        else:
            view.connected()
            self._directory.reachability_reports.note(
                view.peer.node, self._clock.now(), reached=True
            )
            self._pool.keep(view.address, connection)

    async def run(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        """Run the request at the node and update what is known of that node."""
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
        self._update_view(view, outcome)
        return outcome

    def _update_view(self, view: PeerView, outcome: Outcome | PendingOutcome) -> None:
        now = self._clock.now()
        if isinstance(outcome, CompleteAnswer):
            view.served()
            if self._wire.read_notice(outcome.headers).is_leaving:
                view.close_until(now + LEAVING_SECONDS)
        elif isinstance(outcome, Refused) and outcome.code is ResultCode.UNREACHABLE:
            view.backend_server_unavailable(outcome.retry_after, now)
        elif isinstance(outcome, Refused) and outcome.code in _CLOSING_CODES:
            view.close_until(now + outcome.retry_after)
        elif isinstance(outcome, Refused) and outcome.code is ResultCode.RETRY_BUDGET_SPENT:
            view.no_repeats_until = now + outcome.retry_after

    async def _run_remote(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        identification = None
        connection = self._connections.take_idle(view.address, view.peer.node)
        if connection is None:
            opened = await self._open(view)
            if isinstance(opened, Refused):
                return opened
            connection = opened
            identification = self._connections.identification(
                connection, view.address, view.peer.node
            )
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

        def current_header() -> Header:
            sent_at = self._clock.now()
            current = dataclasses.replace(
                header, time_left=call.time_left(sent_at), target_left=call.target_left(sent_at)
            )
            return hop_header.HOP, current.encode()

        exchange = AdmittedExchange(
            connection,
            call,
            current_header,
            held_back=call.held_back or view.may_be_unresponsive(now),
            identification=identification,
        )
        sent = _SentRequest(view, call, connection, now)
        try:
            reply = await exchange.run(target_left=header.target_left, timeout=header.time_left)
        except IdentityError as error:
            self._record_wrong_node(view, error)
            return Refused(ResultCode.UNREACHABLE, DEFAULT_RETRY_SECONDS)
        if reply is not None:
            return self._resolve(sent, reply)
        view.silent(self._clock.now())
        self._mark_unreachable(view)
        self._log.decision("hop_unheard", **self._log_fields(sent))
        return PendingOutcome(asyncio.ensure_future(self._await_late_outcome(sent, exchange)))

    async def _await_late_outcome(self, sent: _SentRequest, exchange: AdmittedExchange) -> Outcome:
        """Await the outcome of a request that was sent to a silent node."""
        sent.view.sent()
        check = asyncio.ensure_future(self._close_if_unreachable(sent))
        try:
            reply = await exchange.await_outcome()
        except IdentityError as error:
            self._record_wrong_node(sent.view, error)
            return Refused(ResultCode.UNREACHABLE, DEFAULT_RETRY_SECONDS)
        finally:
            check.cancel()
            sent.view.ended()
        outcome = self._resolve(sent, reply)
        if not isinstance(reply, Lost | Refused):
            node = sent.view.peer.node
            self._directory.reachability_reports.note(node, self._clock.now(), reached=True)
            self._log.decision("hop_heard", **self._log_fields(sent))
        self._update_view(sent.view, outcome)
        return outcome

    async def _close_if_unreachable(self, sent: _SentRequest) -> None:
        """Give up a silent node that accepts no connections, unless this node is stopping."""
        probe_connection = await self._open(sent.view)
        if not isinstance(probe_connection, Refused):
            self._pool.keep(sent.view.address, probe_connection)
        elif not self.leaving:
            sent.connection.close()

    def _resolve(
        self, sent: _SentRequest, reply: tuple[AnswerHead, bytes] | Refused | Lost
    ) -> Outcome:
        if isinstance(reply, Lost | Refused):
            self._record_lost(sent, reply)
            return reply
        self._pool.keep(sent.view.address, sent.connection)
        head, body = reply
        return self._decode_answer(sent.view, sent.call, head, body)

    def _record_wrong_node(self, view: PeerView, error: IdentityError) -> None:
        reason = "not a node" if error.other_node is None else "another node at its address"
        self._directory.forget(view.peer.node, reason)

    async def _open(self, view: PeerView) -> ClientConnection | Refused:
        try:
            return await self._pool.open(view.address, CONNECT_SECONDS)
        except UnreachableError as error:
            return self._refuse_unreachable(view, error)

    def _refuse_unreachable(self, view: PeerView, error: UnreachableError) -> Refused:
        now = self._clock.now()
        seconds = view.unreachable(now)
        self._directory.reachability_reports.note(view.peer.node, now, reached=False)
        self._log.event(
            "peer_unreachable", peer=view.peer.node, closed_for=seconds, reason=str(error)
        )
        return Refused(ResultCode.UNREACHABLE, seconds)

    def _mark_unreachable(self, view: PeerView) -> None:
        view.unreachable(self._clock.now())
        self._directory.reachability_reports.note(view.peer.node, self._clock.now(), reached=False)
        # Its other idle connections may be dead too, and each would delay a request as long.
        self._pool.forget(view.address)

    def _record_lost(self, sent: _SentRequest, lost: Lost | Refused) -> None:
        if isinstance(lost, Refused) or lost.is_silent:
            sent.view.silent(self._clock.now())
        if lost.code is not ResultCode.DEADLINE_DURING_RUN:
            self._mark_unreachable(sent.view)
        if isinstance(lost, Refused):
            self._log.decision("hop_silent", code=lost.code.number, **self._log_fields(sent))
            return
        self._log.decision(
            "hop_lost",
            code=lost.code.number,
            admitted=lost.admitted,
            silent=lost.is_silent,
            leaving=self.leaving,
            **self._log_fields(sent),
        )

    def _log_fields(self, sent: _SentRequest) -> dict[str, object]:
        """Return the log fields of all entries about a request at another node."""
        return {
            "request": sent.call.request_id,
            "peer": sent.view.peer.node,
            "waited_ms": round((self._clock.now() - sent.sent_at) * 1000.0, 1),
        }

    def _decode_answer(
        self, view: PeerView, call: RoutedCall, head: AnswerHead, body: bytes
    ) -> Outcome:
        load = NodeLoad.decode(head.get(hop_header.LOAD) or b"")
        if load is not None:
            view.reported(load, self._clock.now())
            self._sync.note_peer_version(view.address, load.configuration)
            if load.over_repeat_budget:
                self._local_backend.repeats.callee_over_budget(call)
        result = head.get(hop_header.RESULT)
        if result is None:
            if load is None:
                # A program other than a node answers at this address now.
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
