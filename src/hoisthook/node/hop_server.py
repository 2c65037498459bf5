"""Serves attempts that ingress nodes send to the local backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import end_to_end
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.idempotency.replay_window import ReplayWindow
from hoisthook.identity import CallerId
from hoisthook.identity import RequestId
from hoisthook.node import wire
from hoisthook.node.attempt import Attempt
from hoisthook.node.call import Call
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.node.reply import answer_headers
from hoisthook.node.reply import refuse
from hoisthook.node.reply import relay
from hoisthook.node.request_body import read_body
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.identity import Incarnation
    from hoisthook.membership.pause_guard import PauseGuard
    from hoisthook.node.answer import Answer
    from hoisthook.node.local_backend import LocalBackend
    from hoisthook.port.clock import Clock
    from hoisthook.port.decision_log import DecisionLog

RESUMING_RETRY_SECONDS = 0.1
STOPPING_RETRY_SECONDS = 1.0


class HopServer:
    """Checks an attempt, runs it at the local backend server, and streams the answer back.

    Parameters
    ----------
    local_backend : LocalBackend
        Runs the attempts.
    configuration : ConfigurationState
        The limits of the services.
    guard : PauseGuard
        Detects that this node was paused.
    clock : Clock
        Monotonic; the event loop's clock.
    incarnation : Incarnation
        This node's; attempts addressed to another are refused.
    log : DecisionLog
        Receives a line for each refusal.
    """

    def __init__(
        self,
        local_backend: LocalBackend,
        configuration: ConfigurationState,
        guard: PauseGuard,
        clock: Clock,
        incarnation: Incarnation,
        log: DecisionLog,
    ) -> None:
        self._local_backend = local_backend
        self._configuration = configuration
        self._guard = guard
        self._clock = clock
        self._incarnation = incarnation
        self._log = log
        self._window = ReplayWindow()
        self.stopping = False

    async def handle(self, exchange: ServerExchange, value: bytes) -> None:
        """Serve one attempt.

        Parameters
        ----------
        exchange : ServerExchange
            The request of the ingress node.
        value : bytes
            The value of its attempt header.
        """
        received = self._clock.now()
        header = wire.AttemptHeader.decode(value)
        if header is None:
            refuse(exchange, ResultCode.REQUEST_MALFORMED)
            return
        refused = self._refuse_early(header, received)
        if refused is not None:
            self._refuse(exchange, refused)
            return
        call = await self._read_call(exchange, header, received)
        if isinstance(call, Refused):
            self._refuse(exchange, call)
            return
        attempt = Attempt(header.number, may_wait=header.may_wait, hedge=header.hedge)
        await self._respond(exchange, call, await self._local_backend.run(call, attempt))

    def _refuse_early(self, header: wire.AttemptHeader, now: float) -> Refused | None:
        if self._guard.check(now):
            return Refused(ResultCode.NODE_RESUMING, RESUMING_RETRY_SECONDS)
        if self.stopping:
            return Refused(ResultCode.NODE_STOPPING, STOPPING_RETRY_SECONDS)
        if header.target != self._incarnation:
            return Refused(ResultCode.INCARNATION_MISMATCH, STOPPING_RETRY_SECONDS)
        if header.repeatable or self._window.accept(header.sender, header.number):
            return None
        return Refused(ResultCode.ATTEMPT_REPLAYED, 0.0)

    async def _read_call(
        self, exchange: ServerExchange, header: wire.AttemptHeader, received: float
    ) -> Call | Refused:
        own_headers: dict[bytes, bytes] = {}
        for name, value in exchange.head.headers:
            if name.startswith(wire.OWN_PREFIX):
                own_headers[name] = value
        spec = self._configuration.service_by_name.get(
            own_headers.get(wire.SERVICE, b"").decode("latin-1")
        )
        timeout = wire.parse_timeout_ms(own_headers.get(wire.TIMEOUT_MS, b""))
        if spec is None:
            return Refused(ResultCode.CONFIGURATION_MISSING, RESUMING_RETRY_SECONDS)
        if timeout is None:
            return Refused(ResultCode.TIMEOUT_INVALID, 0.0)
        try:
            body, rest = await read_body(exchange.body)
        except BrokenExchangeError:
            return Refused(ResultCode.REQUEST_MALFORMED, 0.0)
        return Call(
            request_id=RequestId(own_headers.get(wire.REQUEST_ID, b"").decode("latin-1")),
            spec=spec,
            caller=CallerId(own_headers.get(wire.CALLER, b"").decode("latin-1")),
            method=exchange.head.method,
            target=exchange.head.target,
            headers=wire.without_own(end_to_end(exchange.head.headers)),
            body=body,
            rest=rest,
            received=received,
            deadline=received + timeout,
            repeatable=header.repeatable,
        )

    async def _respond(
        self, exchange: ServerExchange, call: Call, result: Answer | Refused | Lost
    ) -> None:
        if isinstance(result, Refused):
            self._log.refused(call, self._local_backend.backend_server, result.code)
            self._refuse(exchange, result)
            return
        if isinstance(result, Lost):
            refuse(exchange, result.code, extra=[self._load()])
            return
        node_micros = int((self._clock.now() - call.received) * 1e6)
        headers: list[Header] = answer_headers(result)
        headers.append(self._load())
        headers.append((wire.RAN_BY, result.ran_by.encode()))
        headers.append((wire.INSIDE_MICROS, b"%d" % node_micros))
        await relay(exchange, result, headers)

    def _refuse(self, exchange: ServerExchange, refused: Refused) -> None:
        refuse(exchange, refused.code, retry_after=refused.retry_after, extra=[self._load()])

    def _load(self) -> Header:
        return wire.LOAD, self._local_backend.report().encode()
