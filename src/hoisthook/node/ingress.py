"""Serves the requests of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import end_to_end
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.identity import CallerId
from hoisthook.identity import RequestId
from hoisthook.node import wire
from hoisthook.node.answer import Answer
from hoisthook.node.call import Call
from hoisthook.node.call import Refused
from hoisthook.node.reply import answer_headers
from hoisthook.node.reply import refuse
from hoisthook.node.reply import relay
from hoisthook.node.reply import success_headers
from hoisthook.node.request_body import read_body
from hoisthook.result_code import Ran
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.identity import Incarnation
    from hoisthook.membership.pause_guard import PauseGuard
    from hoisthook.node.dispatcher import Dispatched
    from hoisthook.node.dispatcher import Dispatcher
    from hoisthook.node.idempotency_handler import IdempotencyHandler
    from hoisthook.port.clock import Clock
    from hoisthook.port.decision_log import DecisionLog

RESUMING_RETRY_SECONDS = 0.1
STOPPING_RETRY_SECONDS = 1.0
MAX_NAME_BYTES = 128


class Ingress:
    """Validates a request, dispatches it, and answers with its result and attempts.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatches calls to backend servers.
    keys : IdempotencyHandler
        Runs non-repeatable calls and issues idempotency keys.
    configuration : ConfigurationState
        The configured services.
    guard : PauseGuard
        Detects that this node was paused.
    clock : Clock
        Monotonic; the event loop's clock.
    incarnation : Incarnation
        This node's; part of the request ids that it generates.
    log : DecisionLog
        Receives a line for each call.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        keys: IdempotencyHandler,
        configuration: ConfigurationState,
        guard: PauseGuard,
        clock: Clock,
        incarnation: Incarnation,
        log: DecisionLog,
    ) -> None:
        self._dispatcher = dispatcher
        self._keys = keys
        self._configuration = configuration
        self._guard = guard
        self._clock = clock
        self._incarnation = incarnation
        self._log = log
        self._generated_ids = 0
        self.stopping = False

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one request of a caller."""
        received = self._clock.now()
        own_headers: dict[bytes, bytes] = {}
        key: bytes | None = None
        for name, value in exchange.head.headers:
            if name.startswith(wire.OWN_PREFIX):
                own_headers[name] = value
            elif name == wire.KEY:
                key = value
        # Whether an earlier request with this key ran is unknown until its record is read.
        ran = None if key is None else Ran.UNKNOWN
        refused = self._refuse_early(received)
        if refused is not None:
            refuse(exchange, refused.code, ran=ran, retry_after=refused.retry_after)
            return
        if exchange.head.target.startswith(wire.CONTROL_PREFIX):
            self._keys.serve_control(exchange, own_headers)
            return
        call = await self._read_call(exchange, own_headers, received)
        if isinstance(call, Refused):
            refuse(exchange, call.code, ran=ran, retry_after=call.retry_after)
        elif call.repeatable:
            await self._run(exchange, call)
        else:
            await self._keys.run(exchange, call, key, self.dispatch)

    async def dispatch(self, call: Call) -> Dispatched:
        """Dispatch a call and log the decision."""
        dispatched = await self._dispatcher.dispatch(call)
        result = dispatched.result
        code = ResultCode.OK if isinstance(result, Answer) else result.code
        self._log.routed(call, dispatched, code, self._clock.now() - call.received)
        return dispatched

    async def _run(self, exchange: ServerExchange, call: Call) -> None:
        dispatched = await self.dispatch(call)
        result = dispatched.result
        attempts = (wire.ATTEMPTS, b"%d" % dispatched.attempts)
        if isinstance(result, Answer):
            headers = answer_headers(result)
            headers.extend(success_headers(result.ran_by, dispatched.attempts))
            await relay(exchange, result, headers)
        elif isinstance(result, Refused):
            refuse(exchange, result.code, retry_after=result.retry_after, extra=[attempts])
        else:
            refuse(exchange, result.code, extra=[attempts])

    def _refuse_early(self, now: float) -> Refused | None:
        if self._guard.check(now):
            return Refused(ResultCode.NODE_RESUMING, RESUMING_RETRY_SECONDS)
        if self.stopping:
            return Refused(ResultCode.NODE_STOPPING, STOPPING_RETRY_SECONDS)
        if not self._configuration.loaded:
            return Refused(ResultCode.CONFIGURATION_MISSING, STOPPING_RETRY_SECONDS)
        return None

    async def _read_call(
        self, exchange: ServerExchange, own_headers: dict[bytes, bytes], received: float
    ) -> Call | Refused:
        name = own_headers.get(wire.SERVICE)
        if name is None:
            return Refused(ResultCode.SERVICE_UNNAMED, 0.0)
        spec = self._configuration.service_by_name.get(name.decode("latin-1"))
        if spec is None:
            return Refused(ResultCode.SERVICE_UNKNOWN, 0.0)
        timeout: float | None = spec.timeout_ms / 1000.0
        if wire.TIMEOUT_MS in own_headers:
            timeout = wire.parse_timeout_ms(own_headers[wire.TIMEOUT_MS])
        if timeout is None:
            return Refused(ResultCode.TIMEOUT_INVALID, 0.0)
        timeout = min(timeout, spec.timeout_ms / 1000.0)
        try:
            body, rest = await read_body(exchange.body)
        except BrokenExchangeError:
            return Refused(ResultCode.REQUEST_MALFORMED, 0.0)
        head = exchange.head
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        return Call(
            request_id=self._request_id(own_headers),
            spec=spec,
            caller=_caller(exchange, own_headers),
            method=head.method,
            target=head.target,
            headers=wire.without_own(end_to_end(head.headers)),
            body=body,
            rest=rest,
            received=received,
            deadline=received + timeout,
            repeatable=spec.is_repeatable(head.method.decode("latin-1"), path),
            under_hedge=wire.HEDGE in own_headers,
        )

    def _request_id(self, own_headers: dict[bytes, bytes]) -> RequestId:
        sent_by_caller = own_headers.get(wire.REQUEST_ID)
        if sent_by_caller is not None and len(sent_by_caller) <= MAX_NAME_BYTES:
            return RequestId(sent_by_caller.decode("latin-1"))
        self._generated_ids += 1
        return RequestId(f"{self._incarnation}-{self._generated_ids:x}")


def _caller(exchange: ServerExchange, own_headers: dict[bytes, bytes]) -> CallerId:
    sent_by_caller = own_headers.get(wire.CALLER)
    if sent_by_caller is not None and len(sent_by_caller) <= MAX_NAME_BYTES:
        return CallerId(sent_by_caller.decode("latin-1"))
    return CallerId(exchange.peer[0])
