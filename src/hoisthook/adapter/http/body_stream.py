"""A bounded stream of body chunks between a connection and its reader."""

from __future__ import annotations

import asyncio
import copy
from collections import deque
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.exceptions import BodyTooLargeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.exceptions import BrokenExchangeError

HIGH_WATER_BYTES = 256 * 1024


class BodySource(Protocol):
    """Flow control of the connection that feeds a stream."""

    def pause_body(self) -> None:
        """Stop reading from the socket."""

    def resume_body(self) -> None:
        """Resume reading from the socket."""


class BodyStream:
    """The chunks of one message body, in order; it ends either complete or with an error.

    Parameters
    ----------
    source : BodySource
        The connection; it is paused while more than ``HIGH_WATER_BYTES`` are buffered.
    """

    __slots__ = ("_chunks", "_size", "_source", "_waiter", "complete", "error", "on_complete")

    def __init__(self, source: BodySource) -> None:
        self._source = source
        self._chunks: deque[bytes] = deque()
        self._size = 0
        self._waiter: asyncio.Future[None] | None = None
        self.complete = False
        self.error: BrokenExchangeError | None = None
        self.on_complete: Callable[[], None] | None = None

    @property
    def buffered(self) -> int:
        """Return the number of bytes received and not yet read."""
        return self._size

    @property
    def is_full(self) -> bool:
        """Return whether more is buffered than the reader should lag behind."""
        return self._size > HIGH_WATER_BYTES

    def feed(self, data: bytes) -> None:
        """Add a chunk read from the socket."""
        self._chunks.append(data)
        self._size += len(data)
        if self.is_full:
            self._source.pause_body()
        self._wake_reader()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self._wake_reader()
        if self.on_complete is not None:
            self.on_complete()

    def fail(self, error: BrokenExchangeError) -> None:
        """Mark the body as failed, unless it is already complete or failed."""
        if self.complete or self.error is not None:
            return
        self.error = error
        self._wake_reader()

    def take_buffered(self) -> bytes:
        """Return all buffered bytes without waiting."""
        if not self._chunks:
            return b""
        if len(self._chunks) == 1:
            data = self._chunks.popleft()
        else:
            data = b"".join(self._chunks)
            self._chunks.clear()
        was_full = self.is_full
        self._size = 0
        if was_full:
            # The source may feed further chunks at once.
            self._source.resume_body()
        return data

    async def read(self) -> bytes:
        """Return the buffered bytes, waiting for the first; ``b""`` at the end of a complete body.

        Raises
        ------
        BrokenExchangeError
            If the body ended prematurely.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self.error is not None:
                # A copy, since the traceback of an error that is kept would keep its frames alive.
                raise copy.copy(self.error)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self.take_buffered()

    async def read_all(
        self, *, max_bytes: int | None = None, piece_timeout: float | None = None
    ) -> bytes:
        """Return the rest of the body once it is complete.

        Parameters
        ----------
        max_bytes : int, optional
            Largest size of the body, in bytes.
        piece_timeout : float, optional
            Maximum time to wait for each piece, in seconds.

        Raises
        ------
        BodyTooLargeError
            If the body is larger than ``max_bytes``.
        BrokenExchangeError
            If the body ended prematurely.
        TimeoutError
            If a piece did not arrive in time.
        """
        # The value of a BytesIO is its buffer, where joining pieces would need twice the memory. It
        # is closed because the traceback of an error keeps this frame alive.
        with BytesIO() as body:
            while True:
                async with asyncio.timeout(piece_timeout):
                    piece = await self.read()
                if not piece:
                    return body.getvalue()
                size = body.tell() + len(piece)
                if max_bytes is not None and size > max_bytes:
                    raise BodyTooLargeError(f"body exceeds the limit of {max_bytes} bytes")
                if size == len(piece) and self.complete and not self._chunks:
                    return piece
                body.write(piece)

    def _wake_reader(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
