"""One request to another node, which says that it admits it before it runs it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import LAST_CHUNK
from hoisthook.adapter.http.message import encode_chunk
from hoisthook.adapter.http.message import encode_request_head
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.mesh.buffered_exchange import BODYLESS_METHODS
from hoisthook.mesh.buffered_exchange import read_buffered
from hoisthook.mesh.hop_header import parse_wait_seconds
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.mesh.routed_call import RoutedCall

# A node decides within milliseconds, or within the 50 ms of a health check; on a machine whose
# processor share is used up it stands still for a tenth of a second at most.
ADMISSION_SECONDS = 0.2
# A request with little time is not kept for so long: another node can still serve it within its
# target if the first is given up after this share of what is left of it.
ADMISSION_SHARE_OF_TARGET = 0.5
# Below this a loss is more likely than not a busy node.
MIN_ADMISSION_SECONDS = 0.06
SILENT_RETRY_SECONDS = 0.05


class AdmittedExchange:
    """Sends a request and waits to hear that it is admitted, then for its answer.

    The body of a request that is held back is sent when the other node asks for it, and its
    end is what lets that node run it. So a node that is silent, or whose
    connection breaks before it has asked, has not run the request and never will.

    Parameters
    ----------
    connection : ClientConnection
        Idle; closed unless the answer was whole.
    call : RoutedCall
        What to run.
    hop : Header
        What the other node must know besides.
    held_back : bool
        Whether its end is sent only when the other node asks for it.
    """

    def __init__(
        self,
        connection: ClientConnection,
        call: RoutedCall,
        hop: tuple[bytes, bytes],
        *,
        held_back: bool,
    ) -> None:
        self._connection = connection
        self._call = call
        self._hop = hop
        self._held_back = held_back
        self._admitted = False
        self._deadline = 0.0
        self._answer: asyncio.Future[AnswerHead]
        self._going: asyncio.Future[bool]

    async def run(
        self, *, target_left: float, timeout: float
    ) -> tuple[AnswerHead, bytes] | Refused | Lost | None:
        """Return the answer, or what is known of a request without one.

        None says that it was sent whole and that the other node is silent; it may still run it,
        so either `hear_out` or `close` has to follow.

        Parameters
        ----------
        target_left : float
            Seconds until its target latency is over.
        timeout : float
            Seconds until the answer is of no use.
        """
        silence = max(MIN_ADMISSION_SECONDS, ADMISSION_SHARE_OF_TARGET * target_left)
        self._deadline = asyncio.get_running_loop().time() + timeout
        return await self._bounded(self._exchange(min(ADMISSION_SECONDS, silence)))

    async def hear_out(self) -> tuple[AnswerHead, bytes] | Lost:
        """Return the answer of a node that was silent, or what is known at the deadline."""
        answered = await self._bounded(self._finish())
        assert isinstance(answered, tuple | Lost)
        return answered

    async def _bounded(
        self, exchange: Coroutine[object, object, tuple[AnswerHead, bytes] | None]
    ) -> tuple[AnswerHead, bytes] | Refused | Lost | None:
        try:
            async with asyncio.timeout_at(self._deadline):
                return await exchange
        except TimeoutError:
            self._connection.close()
            return self._lost(ResultCode.DEADLINE_DURING_RUN, is_silent=True)
        except BrokenExchangeError:
            self._connection.close()
            return self._lost(ResultCode.ANSWER_LOST, is_silent=False)
        except asyncio.CancelledError:
            self._connection.close()
            raise

    async def _exchange(self, silence: float) -> tuple[AnswerHead, bytes] | None:
        connection = self._connection
        self._answer = connection.send(
            self._first_bytes(), bodyless_answer=self._call.method == b"HEAD"
        )
        self._going = connection.go_ahead()
        if not await self._hear(silence):
            if self._held_back:
                raise TimeoutError
            return None
        return await self._finish()

    async def _finish(self) -> tuple[AnswerHead, bytes]:
        self._admitted = await self._going
        if self._held_back:
            self._connection.send_more(self._rest() if self._admitted else LAST_CHUNK)
        head = await self._answer
        return head, await read_buffered(self._connection)

    async def _hear(self, silence: float) -> bool:
        """Return whether it is known in time if the request is admitted.

        A node that keeps it waiting says at once for how long; giving it up before would leave
        a request unserved that is about to start: 375 of 12,000 answers were 502 in a minute
        with a restart of all before, 14 after.
        """
        going = self._going
        processing = self._connection.processing()
        await asyncio.wait(
            (going, processing), timeout=silence, return_when=asyncio.FIRST_COMPLETED
        )
        if not going.done() and processing.done():
            await asyncio.wait(
                (going,), timeout=parse_wait_seconds(processing.result()) + ADMISSION_SECONDS
            )
        return going.done()

    def _first_bytes(self) -> bytes:
        call = self._call
        headers = [*call.headers, self._hop, (b"expect", b"100-continue")]
        if self._held_back:
            headers.append((b"transfer-encoding", b"chunked"))
            return encode_request_head(call.method, call.target, headers)
        if call.body or call.method not in BODYLESS_METHODS:
            headers.append((b"content-length", b"%d" % len(call.body)))
        return encode_request_head(call.method, call.target, headers) + call.body

    def _rest(self) -> bytes:
        body = self._call.body
        return encode_chunk(body) + LAST_CHUNK if body else LAST_CHUNK

    def _lost(self, code: ResultCode, *, is_silent: bool) -> Refused | Lost:
        if self._admitted:
            return Lost(code)
        if not self._held_back:
            return Lost(ResultCode.ANSWER_LOST, admitted=False, is_silent=is_silent)
        return Refused(ResultCode.NODE_SILENT, SILENT_RETRY_SECONDS)
