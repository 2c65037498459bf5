"""One request to another node, which confirms admission before it executes the request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import LAST_CHUNK
from hoisthook.adapter.http.message import chunk_parts
from hoisthook.adapter.http.message import encode_request_head
from hoisthook.adapter.http.node_connections import IdentityError
from hoisthook.adapter.http.node_connections import UnidentifiedError
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.mesh.buffered_exchange import BODYLESS_METHODS
from hoisthook.mesh.buffered_exchange import read_buffered
from hoisthook.mesh.hop_header import parse_wait_seconds
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.node_connections import Identification
    from hoisthook.mesh.routed_call import RoutedCall

# A node decides within milliseconds, or after a health check of up to 50 ms. On a machine that has
# used up its CPU quota the process may be suspended for another 100 ms.
ADMISSION_SECONDS = 0.2
# Share of the remaining target latency after which an unresponsive node is given up, so that
# another node can still serve the request within the target.
ADMISSION_SHARE_OF_TARGET = 0.5
# With a shorter timeout most nodes given up would be busy rather than down.
MIN_ADMISSION_SECONDS = 0.06
SILENT_RETRY_SECONDS = 0.05


class AdmittedExchange:
    """Sends a request, awaits its admission with a timeout, then awaits the answer.

    The body of a request that is held back is sent only once the other node has admitted the
    request and asks for the body (``100 Continue``). The other node executes the request only
    after it has received the end of the body. So a node that does not respond, or whose
    connection breaks before it has asked for the body, has not executed the request and never
    will.

    Parameters
    ----------
    connection : ClientConnection
        Idle connection to the other node; closed unless a complete answer is received.
    call : RoutedCall
        Request to execute.
    hop : callable
        Returns the header with the data that the other node needs besides the request itself, as it
        is at the time of sending.
    held_back : bool
        Whether the body and its end are sent only when the other node asks for them.
    identification : Identification, optional
        Identification of the other node, for a new connection. The request is sent after it.
    """

    def __init__(
        self,
        connection: ClientConnection,
        call: RoutedCall,
        hop: Callable[[], Header],
        *,
        held_back: bool,
        identification: Identification | None = None,
    ) -> None:
        self._connection = connection
        self._call = call
        self._hop = hop
        self._held_back = held_back
        self._identification = identification
        self._is_sent = False
        self._admitted = False
        self._deadline = 0.0
        self._answer: asyncio.Future[AnswerHead]
        self._continued: asyncio.Future[bool]

    async def run(
        self, *, target_left: float, timeout: float
    ) -> tuple[AnswerHead, bytes] | Refused | Lost | None:
        """Return the answer, or the outcome of a request without one.

        None means that the other node did not respond in time. It may have received the complete
        request and may still execute it, so the caller either awaits `await_outcome` or closes the
        connection.

        Parameters
        ----------
        target_left : float
            Seconds until the target latency of the request has passed.
        timeout : float
            Seconds until the deadline of the request.

        Raises
        ------
        IdentityError
            If something other than the node answers; the request was not sent.
        """
        admission_timeout = max(MIN_ADMISSION_SECONDS, ADMISSION_SHARE_OF_TARGET * target_left)
        self._deadline = asyncio.get_running_loop().time() + timeout
        return await self._bounded(self._exchange(min(ADMISSION_SECONDS, admission_timeout)))

    async def await_outcome(self) -> tuple[AnswerHead, bytes] | Refused | Lost:
        """Return the late answer of a node that did not respond in time, or the loss of it.

        Raises
        ------
        IdentityError
            If something other than the node answers; the request was not sent.
        """
        answer = await self._bounded(self._finish())
        assert answer is not None
        return answer

    async def _bounded(
        self, exchange: Coroutine[object, object, tuple[AnswerHead, bytes] | None]
    ) -> tuple[AnswerHead, bytes] | Refused | Lost | None:
        try:
            async with asyncio.timeout_at(self._deadline):
                return await exchange
        except TimeoutError:
            self._connection.close()
            return self._lost(ResultCode.DEADLINE_DURING_RUN, is_silent=True)
        except (BrokenExchangeError, UnidentifiedError):
            self._connection.close()
            return self._lost(ResultCode.ANSWER_LOST, is_silent=False)
        except (asyncio.CancelledError, IdentityError):
            self._connection.close()
            raise

    async def _exchange(self, admission_timeout: float) -> tuple[AnswerHead, bytes] | None:
        if await self._is_identified(admission_timeout):
            await self._send()
            if await self._await_admission(admission_timeout):
                return await self._finish()
        if self._held_back:
            raise TimeoutError
        return None

    async def _is_identified(self, timeout: float) -> bool:
        """Return whether the other node has stated its identity in time, if that is required."""
        if self._identification is None:
            return True
        self._identification.start()
        await asyncio.wait((self._identification.answer,), timeout=timeout)
        return self._identification.answer.done()

    async def _send(self) -> None:
        if self._identification is not None:
            await self._identification.complete()
        self._is_sent = True
        self._answer = self._connection.send(
            *self._first_parts(), bodyless_answer=self._call.method == b"HEAD"
        )
        self._continued = self._connection.go_ahead()

    async def _finish(self) -> tuple[AnswerHead, bytes]:
        if not self._is_sent:
            await self._send()
        self._admitted = await self._continued
        if self._held_back:
            if self._admitted:
                self._connection.write(*chunk_parts(self._call.body))
            self._connection.write(LAST_CHUNK)
        head = await self._answer
        return head, await read_buffered(self._connection, head)

    async def _await_admission(self, admission_timeout: float) -> bool:
        """Return whether the other node has responded in time, by admission or by an answer.

        A node that queues the request announces at once for how long, and the timeout is extended
        by that time. Without the extension requests were given up shortly before they started: in
        one minute with a restart of all backend servers 375 of 12,000 answers were 502, against
        14 with it.
        """
        continued = self._continued
        processing = self._connection.processing()
        await asyncio.wait(
            (continued, processing), timeout=admission_timeout, return_when=asyncio.FIRST_COMPLETED
        )
        if not continued.done() and processing.done():
            await asyncio.wait(
                (continued,), timeout=parse_wait_seconds(processing.result()) + ADMISSION_SECONDS
            )
        return continued.done()

    def _first_parts(self) -> tuple[bytes, ...]:
        call = self._call
        headers = [*call.headers, self._hop(), (b"expect", b"100-continue")]
        if self._held_back:
            headers.append((b"transfer-encoding", b"chunked"))
            return (encode_request_head(call.method, call.target, headers),)
        if call.body or call.method not in BODYLESS_METHODS:
            headers.append((b"content-length", b"%d" % len(call.body)))
        return encode_request_head(call.method, call.target, headers), call.body

    def _lost(self, code: ResultCode, *, is_silent: bool) -> Refused | Lost:
        if self._admitted:
            return Lost(code)
        if self._is_sent and not self._held_back:
            return Lost(ResultCode.ANSWER_LOST, admitted=False, is_silent=is_silent)
        return Refused(ResultCode.NODE_SILENT, SILENT_RETRY_SECONDS)
