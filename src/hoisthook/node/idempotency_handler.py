"""Idempotency keys at an ingress node: issues and claims keys, forwards calls to key holders."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import end_to_end
from hoisthook.adapter.http.node_connections import IdentityError
from hoisthook.exceptions import UnreachableError
from hoisthook.idempotency.key import parse_key
from hoisthook.idempotency.key_register import Claimed
from hoisthook.idempotency.key_register import Denied
from hoisthook.idempotency.key_register import KeptAnswer
from hoisthook.idempotency.key_register import KeyState
from hoisthook.identity import ServiceName
from hoisthook.identity import parse_address
from hoisthook.node import wire
from hoisthook.node.answer import Answer
from hoisthook.node.attempt import Attempt
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.node.exchanger import Exchanger
from hoisthook.node.reply import answer_headers
from hoisthook.node.reply import refuse
from hoisthook.node.reply import relay
from hoisthook.node.reply import success_headers
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.node_connections import NodeConnections
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.idempotency.key import Key
    from hoisthook.idempotency.key_register import KeyRecord
    from hoisthook.idempotency.key_register import KeyRegister
    from hoisthook.membership.member_table import MemberTable
    from hoisthook.node.call import Call
    from hoisthook.node.dispatcher import Dispatched
    from hoisthook.port.clock import Clock

    Dispatch = Callable[[Call], Awaitable[Dispatched]]

KEYS_PATH = b"/hoisthook/keys"
CONNECT_SECONDS = 0.25
IN_PROGRESS_RETRY_SECONDS = 0.1
HOLDER_RETRY_SECONDS = 1.0
KEYS_FULL_RETRY_SECONDS = 5.0
_RETRY_BY_CODE = {
    ResultCode.KEY_IN_PROGRESS: IN_PROGRESS_RETRY_SECONDS,
    ResultCode.KEYS_FULL: KEYS_FULL_RETRY_SECONDS,
}
_NEW_KEY_CODES = frozenset({ResultCode.KEY_REQUIRED, ResultCode.KEY_MALFORMED})


class IdempotencyHandler:
    """Runs non-repeatable calls at most once per idempotency key.

    The incarnation that issued a key is its only holder. Any other node forwards
    the request to it, and answers "unknown" if the holder no longer exists.

    Parameters
    ----------
    register : KeyRegister
        The keys that this incarnation has issued, and their state.
    configuration : ConfigurationState
        The configured services.
    table : MemberTable
        Gives the addresses of key holders.
    pool : ClientPool
        Keeps the connections to other nodes.
    connections : NodeConnections
        Opens and identifies them.
    clock : Clock
        Monotonic; the event loop's clock.
    """

    def __init__(
        self,
        register: KeyRegister,
        configuration: ConfigurationState,
        table: MemberTable,
        pool: ClientPool,
        connections: NodeConnections,
        clock: Clock,
    ) -> None:
        self._register = register
        self._configuration = configuration
        self._table = table
        self._pool = pool
        self._connections = connections
        self._clock = clock

    def serve_control(self, exchange: ServerExchange, own_headers: dict[bytes, bytes]) -> None:
        """Answer a caller's request for a key."""
        if exchange.head.target != KEYS_PATH or exchange.head.method != b"POST":
            refuse(exchange, ResultCode.PATH_RESERVED)
            return
        service = own_headers.get(wire.SERVICE, b"").decode("latin-1")
        if service not in self._configuration.service_by_name:
            refuse(exchange, ResultCode.SERVICE_UNKNOWN)
            return
        key = self._register.issue(ServiceName(service)).encode()
        headers: list[Header] = [(wire.ISSUED_KEY, key), (b"content-type", b"text/plain")]
        exchange.respond(201, headers, key + b"\n")

    async def run(
        self, exchange: ServerExchange, call: Call, key_text: bytes | None, dispatch: Dispatch
    ) -> None:
        """Answer a non-repeatable call.

        Parameters
        ----------
        exchange : ServerExchange
            The caller's request.
        call : Call
            The same request, parsed.
        key_text : bytes or None
            Its idempotency key.
        dispatch : callable
            Runs the call.
        """
        if key_text is None:
            self._deny(exchange, call, ResultCode.KEY_REQUIRED)
            return
        key = parse_key(key_text.decode("latin-1"))
        if key is None or key.service != call.spec.name:
            self._deny(exchange, call, ResultCode.KEY_MALFORMED)
            return
        if not self._register.was_issued_here(key):
            await self._forward_to_holder(exchange, call, key)
            return
        claim = self._register.claim(key, ServiceName(call.spec.name), _fingerprint(call))
        if isinstance(claim, Denied):
            self._deny(exchange, call, claim.code)
        elif isinstance(claim, Claimed):
            await self._run_claimed(exchange, call, claim.record, dispatch)
        else:
            _replay(exchange, claim.answer)

    def _deny(self, exchange: ServerExchange, call: Call, code: ResultCode) -> None:
        extra: list[Header] = []
        if code in _NEW_KEY_CODES:
            key = self._register.issue(ServiceName(call.spec.name))
            extra.append((wire.ISSUED_KEY, key.encode()))
        refuse(exchange, code, retry_after=_RETRY_BY_CODE.get(code, 0.0), extra=extra)

    async def _run_claimed(
        self, exchange: ServerExchange, call: Call, record: KeyRecord, dispatch: Dispatch
    ) -> None:
        # A repeat may still need the answer after this caller has disconnected.
        exchange.cancel_on_disconnect = False
        try:
            dispatched = await dispatch(call)
            result = dispatched.result
            attempts: Header = (wire.ATTEMPTS, b"%d" % dispatched.attempts)
            if isinstance(result, Answer):
                await self._relay_and_keep(exchange, record, result, dispatched)
            elif isinstance(result, Refused):
                self._register.not_run(record)
                refuse(exchange, result.code, retry_after=result.retry_after, extra=[attempts])
            else:
                self._register.lost(record)
                refuse(exchange, result.code, extra=[attempts])
        finally:
            if record.state is KeyState.RUNNING:
                self._register.lost(record)

    async def _relay_and_keep(
        self, exchange: ServerExchange, record: KeyRecord, answer: Answer, dispatched: Dispatched
    ) -> None:
        forwarded = answer_headers(answer)
        headers = [*forwarded, *success_headers(answer.ran_by, dispatched.attempts)]
        body = await relay(exchange, answer, headers, keep=True)
        kept = None
        if body is not None:
            kept = KeptAnswer(answer.head.status, tuple(forwarded), body, answer.ran_by)
        self._register.answered(record, kept)

    async def _forward_to_holder(self, exchange: ServerExchange, call: Call, key: Key) -> None:
        holder = self._table.get(key.node)
        if holder is None or holder.incarnation != key.incarnation or holder.has_departed:
            self._deny(exchange, call, ResultCode.HOLDER_GONE)
            return
        address = parse_address(holder.address)
        try:
            connection = await self._connections.acquire(address, key.incarnation, CONNECT_SECONDS)
        except UnreachableError as error:
            if isinstance(error, IdentityError) and error.other_node is not None:
                self._deny(exchange, call, ResultCode.HOLDER_GONE)
                return
            refuse(exchange, ResultCode.HOLDER_UNREACHABLE, retry_after=HOLDER_RETRY_SECONDS)
            return
        now = self._clock.now()
        exchanger = Exchanger(call, _holder_headers(call, key, now))
        head = await exchanger.send(connection, Attempt(0, may_wait=False), now)
        if isinstance(head, Lost):
            refuse(exchange, ResultCode.ANSWER_LOST, retry_after=HOLDER_RETRY_SECONDS)
            return

        if head.get(wire.RESULT) is None:
            # Something other than a node answers at the holder's address now.
            exchanger.stop()
            connection.close()
            refuse(exchange, ResultCode.HOLDER_UNREACHABLE, retry_after=HOLDER_RETRY_SECONDS)
            return

        def finish(fully_read: bool) -> None:
            exchanger.stop()
            if fully_read:
                self._pool.keep(address, connection)
            else:
                connection.close()

        answer = Answer(head, connection.body, "", finish)
        await relay(exchange, answer, end_to_end(head.headers))


def _fingerprint(call: Call) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    digest.update(call.method + b" " + call.target + b"\n")
    if call.rest is None:
        digest.update(call.body)
    return digest.digest()


def _holder_headers(call: Call, key: Key, now: float) -> list[Header]:
    return [
        *call.headers,
        (wire.HOLDER, key.incarnation.encode()),
        (wire.SERVICE, call.spec.name.encode()),
        (wire.CALLER, call.caller.encode()),
        (wire.TIMEOUT_MS, b"%.3f" % max(0.001, (call.deadline - now) * 1000.0)),
        (wire.REQUEST_ID, call.request_id.encode()),
    ]


def _replay(exchange: ServerExchange, kept: KeptAnswer) -> None:
    headers = [header for header in kept.headers if header[0] != b"content-length"]
    headers.extend(success_headers(kept.ran_by, 0))
    headers.append((wire.REPLAYED, b"1"))
    exchange.respond(kept.status, headers, kept.body)
