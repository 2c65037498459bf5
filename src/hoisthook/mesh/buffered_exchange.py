"""One request and its complete, buffered answer on one connection."""

from __future__ import annotations

import asyncio
from io import BytesIO
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import encode_request_head
from hoisthook.adapter.http.stall_tolerant_timeout import stall_tolerant_timeout
from hoisthook.exceptions import AnswerTooLargeError
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import SpoiledAnswerError
from hoisthook.node.call import Lost
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header

# Answers are buffered completely so that a broken one can be replaced by that of another attempt.
# The limit is far above the answers that services send.
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
    """Send a request and return the head and the body of its answer.

    The connection is closed unless a complete answer is received. Nothing is sent twice.

    Parameters
    ----------
    connection : ClientConnection
        Idle connection.
    method, target : bytes
        Method and target of the request.
    headers : list of Header
        All headers except for the framing.
    body : bytes
        Complete body.
    timeout : float
        Seconds until the complete answer must have arrived; with ``piece_timeout``, until its
        head must have arrived, not counting a stall of the event loop.
    piece_timeout : float, optional
        Seconds for each piece of the body. A large answer on a slow link may then take as long as
        it keeps arriving, rather than being requested again while it is in transit.
    accepts : callable, optional
        Returns whether an answer belongs to this request.
    """
    framed = list(headers)
    if body or method not in BODYLESS_METHODS:
        framed.append((b"content-length", b"%d" % len(body)))
    data = (encode_request_head(method, target, framed), body)
    bodyless = method == b"HEAD"
    try:
        if piece_timeout is None:
            async with asyncio.timeout(timeout):
                head = await connection.send(*data, bodyless_answer=bodyless, accepts=accepts)
                return head, await read_buffered(connection, head)
        async with stall_tolerant_timeout(timeout):
            head = await connection.send(*data, bodyless_answer=bodyless, accepts=accepts)
        return head, await read_buffered(connection, head, piece_timeout)
    except TimeoutError:
        connection.close()
        return Lost(ResultCode.DEADLINE_DURING_RUN)
    except AnswerTooLargeError:
        connection.abort()
        return Lost(ResultCode.ANSWER_TOO_LARGE)
    except SpoiledAnswerError:
        connection.close()
        return Lost(ResultCode.ANSWER_SPOILED)
    except BrokenExchangeError:
        connection.close()
        return Lost(ResultCode.ANSWER_LOST)
    except asyncio.CancelledError:
        connection.close()
        raise


async def read_buffered(
    connection: ClientConnection, head: AnswerHead, piece_timeout: float | None = None
) -> bytes:
    """Return the rest of the body of an answer.

    Parameters
    ----------
    connection : ClientConnection
        Connection on which the head of the answer has been read.
    head : AnswerHead
        That head.
    piece_timeout : float, optional
        Seconds within which each piece must arrive.

    Raises
    ------
    TimeoutError
        If a piece does not arrive in time.
    AnswerTooLargeError
        If the body is larger than `MAX_ANSWER_BYTES`, or than what other answers leave for it.
    BrokenExchangeError
        If the body ends early.
    """
    body = connection.body
    length = head.get(b"content-length") or b""
    has_body = not body.complete or body.buffered > 0
    if has_body and length.isdigit() and int(length) > MAX_ANSWER_BYTES:
        raise AnswerTooLargeError("bytes of the body, as announced", MAX_ANSWER_BYTES)
    first = body.take_buffered()
    if body.complete and not body.buffered:
        return first
    # Closed because the traceback of an error keeps this frame alive.
    with connection.budget.share() as share, BytesIO() as buffer:
        buffer.write(first)
        while not body.complete or body.buffered:
            async with asyncio.timeout(piece_timeout):
                piece = await body.read()
            buffer.write(piece)
            if buffer.tell() > MAX_ANSWER_BYTES:
                raise AnswerTooLargeError("bytes of the body", MAX_ANSWER_BYTES)
            await share.grow_to(buffer.tell())
        return buffer.getvalue()
