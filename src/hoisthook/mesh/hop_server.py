"""Serves requests that other nodes send to the backend server beside this one."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import end_to_end
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.mesh import hop_header
from hoisthook.mesh.hop_header import HopHeader
from hoisthook.mesh.outcome import WholeAnswer
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.backend_link import BackendLink
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.port.clock import Clock

_FRAMING = frozenset({b"content-length"})
NO_RETRY_AFTER = 0.0


class HopServer:
    """Admits other nodes' requests beside the backend server.

    Parameters
    ----------
    service : ServiceName
        What the backend server beside serves.
    beside : BackendLink
        Runs them.
    sync : PeerSync
        Told of the configuration that the sender has.
    clock : Clock
        Monotonic, the loop's own.
    """

    def __init__(
        self, service: ServiceName, beside: BackendLink, sync: PeerSync, clock: Clock
    ) -> None:
        self._service = service
        self._beside = beside
        self._sync = sync
        self._clock = clock

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one request of another node."""
        received = self._clock.now()
        header = HopHeader.decode(exchange.head.get(hop_header.HOP) or b"")
        if header is None:
            self._answer(exchange, Refused(ResultCode.REQUEST_MALFORMED, NO_RETRY_AFTER))
            return
        self._sync.heard((exchange.peer[0], self._sync.peer_port), header.configuration)
        if header.service != self._service:
            self._answer(exchange, Refused(ResultCode.SERVICE_ELSEWHERE, NO_RETRY_AFTER))
            return
        try:
            body = await _read_body(exchange)
        except BrokenExchangeError:
            exchange.abort()
            return
        call = _call(exchange, header, body, received)
        self._answer(exchange, await self._beside.run(call, header.admission, header.max_wait))

    def _answer(self, exchange: ServerExchange, outcome: Outcome) -> None:
        told = dataclasses.replace(self._beside.load(), configuration=self._sync.version)
        load = (hop_header.LOAD, told.encode())
        if isinstance(outcome, WholeAnswer):
            exchange.respond(outcome.status, [*outcome.headers, load], outcome.body)
            return
        headers: list[Header] = [load, (hop_header.RESULT, b"%d" % outcome.code.number)]
        if isinstance(outcome, Refused):
            millis = int(outcome.retry_after * hop_header.MILLIS)
            headers.append((hop_header.RETRY_AFTER_MS, b"%d" % millis))
        else:
            assert isinstance(outcome, Lost)
        exchange.respond(outcome.code.value.http_status, headers)


async def _read_body(exchange: ServerExchange) -> bytes:
    data = b""
    while chunk := await exchange.body.read():
        data += chunk
    return data


def _call(exchange: ServerExchange, header: HopHeader, body: bytes, received: float) -> RoutedCall:
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
        body=body,
        received=received,
        deadline=received + header.time_left,
        target_latency=header.target_left,
        priority=header.priority,
        repeatable=False,
        max_attempts=1,
    )
