"""Writes answers and refusals to callers and to other nodes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import end_to_end
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.idempotency.key_register import MAX_ANSWER_BYTES
from hoisthook.node import wire
from hoisthook.result_code import Ran
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.node.answer import Answer

_OK_HEADER = b"0 OK"
_RAN_HEADER = Ran.RAN.value.encode()
_RESULT_BY_CODE = {code: f"{code.number} {code.name}".encode() for code in ResultCode}


def answer_headers(answer: Answer) -> list[Header]:
    """Return the headers of a backend server's answer that are forwarded to the caller."""
    return wire.without_own(end_to_end(answer.head.headers))


def success_headers(ran_by: str, attempts: int) -> list[Header]:
    """Return the headers of a successful call: its result, backend server and attempts."""
    return [
        (wire.RESULT, _OK_HEADER),
        (wire.RAN, _RAN_HEADER),
        (wire.RAN_BY, ran_by.encode()),
        (wire.ATTEMPTS, b"%d" % attempts),
    ]


def refuse(
    exchange: ServerExchange,
    code: ResultCode,
    *,
    ran: Ran | None = None,
    retry_after: float = 0.0,
    extra: list[Header] | None = None,
) -> None:
    """Respond with a result code.

    Parameters
    ----------
    exchange : ServerExchange
        Not yet answered.
    code : ResultCode
        The reason.
    ran : Ran, optional
        Whether the request ran, where it differs from what the code implies.
    retry_after : float
        Seconds to wait before a retry; 0 for no retry header.
    extra : list of Header, optional
        Additional headers.
    """
    headers: list[Header] = [
        (wire.RESULT, _RESULT_BY_CODE[code]),
        (wire.RAN, (ran or code.ran).value.encode()),
    ]
    if retry_after > 0:
        headers.append((wire.RETRY_AFTER, b"%d" % math.ceil(retry_after)))
        headers.append((wire.RETRY_AFTER_MS, b"%d" % math.ceil(retry_after * 1000)))
    if extra:
        headers.extend(extra)
    headers.append((b"content-type", b"text/plain"))
    body = f"{code.number} {code.name}: {code.value.meaning} {code.value.action}\n".encode()
    exchange.respond(code.value.http_status, headers, body)


async def relay(
    exchange: ServerExchange, answer: Answer, headers: list[Header], *, keep: bool = False
) -> bytes | None:
    """Stream an answer; if it breaks off, abort the connection so that it can't pass as complete.

    Parameters
    ----------
    exchange : ServerExchange
        Not yet answered.
    answer : Answer
        The answer to send; it is finished here in any case.
    headers : list of Header
        All headers to send, except for the framing.
    keep : bool
        Whether to go on reading after the receiver has disconnected, and to return the body.

    Returns
    -------
    bytes or None
        The complete body if ``keep`` is set and it has at most ``MAX_ANSWER_BYTES``.
    """
    body = answer.body
    kept: list[bytes] = []
    kept_size = 0
    fully_read = False
    try:
        data = body.take_buffered()
        head = exchange.begin(
            answer.head.status, headers, chunked=_needs_chunks(exchange, answer, headers)
        )
        exchange.write(data, head=head)
        while data or not body.complete:
            if keep and kept_size <= MAX_ANSWER_BYTES:
                kept.append(data)
                kept_size += len(data)
            if body.complete and not body.buffered:
                break
            data = await body.read()
            exchange.write(data)
            if not exchange.gone:
                await exchange.drain()
        fully_read = True
    except BrokenExchangeError:
        exchange.abort()
    finally:
        answer.finish(fully_read=fully_read)
    if not fully_read:
        return None
    exchange.end()
    return b"".join(kept) if keep and kept_size <= MAX_ANSWER_BYTES else None


def _needs_chunks(exchange: ServerExchange, answer: Answer, headers: list[Header]) -> bool:
    if exchange.head.method == b"HEAD" or answer.head.status in (204, 304):
        return False
    return all(name != b"content-length" for name, _ in headers)
