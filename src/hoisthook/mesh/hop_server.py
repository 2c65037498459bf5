"""Serves requests that other nodes send to the local backend server."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from hoisthook.adapter.http.byte_budget import MEMORY_RETRY_SECONDS
from hoisthook.adapter.http.message import end_to_end
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import MemoryFullError
from hoisthook.mesh import hop_header
from hoisthook.mesh.hop_header import HopHeader
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.backend_link import BackendLink
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.routing.link_pacer import LinkPacer

_FRAMING = frozenset({b"content-length"})
NO_RETRY_AFTER = 0.0
# Timeout for each piece of a request body. A stalled body occupies a slot; a lost packet is
# retransmitted within this time.
PIECE_SECONDS = 0.5


class HopServer:
    """Serves hops: requests of other nodes for the local backend server.

    Parameters
    ----------
    service : ServiceName
        Service of the local backend server.
    local_backend : BackendLink
        Admits and executes the requests.
    sync : PeerSync
        Notified of the configuration version of each sender.
    link_pacer : LinkPacer
        Paces the sending of large answers.
    clock : Clock
        Monotonic, the event loop's own.
    log : EventLog
        Receives a record of each request whose body did not arrive or that was withdrawn.
    """

    def __init__(
        self,
        service: ServiceName,
        local_backend: BackendLink,
        sync: PeerSync,
        link_pacer: LinkPacer,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._service = service
        self._local_backend = local_backend
        self._sync = sync
        self._link_pacer = link_pacer
        self._clock = clock
        self._log = log

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one request from another node."""
        try:
            await self._serve(exchange)
        except MemoryFullError:
            await self._answer(exchange, Refused(ResultCode.NODE_MEMORY_FULL, MEMORY_RETRY_SECONDS))
        except (BrokenExchangeError, TimeoutError) as error:
            # The request was not executed; closing the connection informs the sender.
            self._log.decision("hop_cut", peer=exchange.peer[0], reason=repr(error))
            exchange.abort()

    async def _serve(self, exchange: ServerExchange) -> None:
        """Execute a request, unless its sender has withdrawn it before this node processed it.

        This guards against duplicate execution after a stall: while the event loop of this node is
        blocked, other nodes execute the requests that were sent here. Afterwards those requests and
        the closing of their connections are read at the same time.
        """
        received = self._clock.now()
        header = HopHeader.decode(exchange.head.get(hop_header.HOP) or b"")
        if header is None:
            await self._answer(exchange, Refused(ResultCode.REQUEST_MALFORMED, NO_RETRY_AFTER))
            return
        self._sync.note_peer_version((exchange.peer[0], self._sync.peer_port), header.configuration)
        if header.service != self._service:
            await self._answer(exchange, Refused(ResultCode.SERVICE_ELSEWHERE, NO_RETRY_AFTER))
            return
        call = _call(exchange, header, received)
        held_back = exchange.head.get(b"transfer-encoding") is not None
        call.is_complete = not held_back
        if not held_back:
            call.body = await exchange.body.read_all(piece_timeout=PIECE_SECONDS)
            # Data that arrived during a stall is read one piece in each loop iteration, so a closed
            # connection is noticed only in the next one.
            await asyncio.sleep(0)
            if exchange.gone:
                self._log.decision("hop_withdrawn", request=call.request_id, peer=exchange.peer[0])
                exchange.abort()
                return

        async def admitted() -> None:
            exchange.send_continue()
            if held_back:
                call.body = await exchange.body.read_all(piece_timeout=PIECE_SECONDS)
                call.is_complete = True

        def waiting(seconds: float) -> None:
            exchange.processing(hop_header.wait_headers(seconds))

        outcome = await self._local_backend.run(
            call, header.admission, admitted=admitted, waiting=waiting
        )
        await self._answer(
            exchange,
            outcome,
            over_budget=self._local_backend.repeats.is_over_budget_for(call),
        )

    async def _answer(
        self, exchange: ServerExchange, outcome: Outcome, *, over_budget: bool = False
    ) -> None:
        load = dataclasses.replace(
            self._local_backend.load(),
            configuration=self._sync.version,
            over_repeat_budget=over_budget,
        )
        load_header = (hop_header.LOAD, load.encode())
        if isinstance(outcome, CompleteAnswer):
            headers = [*outcome.headers, load_header]
            await exchange.respond_paced(outcome.status, headers, outcome.body, self._link_pacer)
            return
        headers = [load_header, (hop_header.RESULT, b"%d" % outcome.code.number)]
        if isinstance(outcome, Refused):
            millis = int(outcome.retry_after * hop_header.MILLIS)
            headers.append((hop_header.RETRY_AFTER_MS, b"%d" % millis))
        else:
            assert isinstance(outcome, Lost)
        exchange.respond(outcome.code.value.http_status, headers)


def _call(exchange: ServerExchange, header: HopHeader, received: float) -> RoutedCall:
    headers = [
        (name, value)
        for name, value in end_to_end(exchange.head.headers)
        if name != hop_header.HOP and name not in _FRAMING
    ]
    return RoutedCall(
        request_id=header.request_id,
        route=header.route,
        service=header.service,
        caller_service=header.caller_service,
        method=exchange.head.method,
        target=exchange.head.target,
        headers=headers,
        body=b"",
        received=received,
        deadline=received + header.time_left,
        target_latency=header.target_left,
        priority=header.priority,
        team=header.team,
        arrival=header.arrival,
        idle_observation=header.idle_observation,
        by_repeat=header.by_repeat,
        repeatable=False,
        max_attempts=1,
    )
