"""One request and its whole answer on one connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import encode_request_head
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.node.call import Lost
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header

# Answers are held whole so that a broken one can be replaced; far above what services send.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
BODYLESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


async def exchange_buffered(
    connection: ClientConnection,
    method: bytes,
    target: bytes,
    headers: list[Header],
    body: bytes,
    *,
    timeout: float,
    piece_timeout: float | None = None,
    accepts: Callable[[AnswerHead], bool] | None = None,
) -> tuple[AnswerHead, bytes] | Lost:
    """Send a request and return its answer's head and body.

    The connection is dropped unless the answer was whole; nothing is sent twice.

    Parameters
    ----------
    connection : ClientConnection
        Idle.
    method, target : bytes
        Of the request.
    headers : list of Header
        All but the framing.
    body : bytes
        Whole.
    timeout : float
        Seconds until the answer is of no use; where pieces have a time of their own, until its
        head is.
    piece_timeout : float, optional
        Seconds for each piece of the body: a large answer on a narrow link goes on for as long
        as it arrives, rather than being asked for again while it is under way.
    accepts : callable, optional
        Tells whether an answer belongs to this request.
    """
    framed = list(headers)
    if body or method not in BODYLESS_METHODS:
        framed.append((b"content-length", b"%d" % len(body)))
    data = encode_request_head(method, target, framed) + body
    try:
        async with asyncio.timeout(timeout) as bound:
            head = await connection.send(data, bodyless_answer=method == b"HEAD", accepts=accepts)
            if piece_timeout is not None:
                bound.reschedule(None)
            return head, await read_buffered(connection, piece_timeout)
    except TimeoutError:
        connection.close()
        return Lost(ResultCode.DEADLINE_DURING_RUN)
    except BrokenExchangeError:
        connection.close()
        return Lost(ResultCode.ANSWER_LOST)
    except asyncio.CancelledError:
        connection.close()
        raise


async def read_buffered(connection: ClientConnection, piece_timeout: float | None = None) -> bytes:
    """Return the rest of an answer's body.

    Parameters
    ----------
    connection : ClientConnection
        Whose answer's head has been read.
    piece_timeout : float, optional
        Seconds within which each piece must arrive.

    Raises
    ------
    TimeoutError
        If a piece does not arrive in time.
    BrokenExchangeError
        If it ends early or is larger than what is held.
    """
    body = connection.body
    data = body.take_buffered()
    while not body.complete or body.buffered:
        async with asyncio.timeout(piece_timeout):
            data += await body.read()
        if len(data) > MAX_ANSWER_BYTES:
            raise BrokenExchangeError("answer too large to hold")
    return data
