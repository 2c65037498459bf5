"""A bounded stream of body chunks between a connection and its reader."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.exceptions import BrokenExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

HIGH_WATER_BYTES = 256 * 1024


class BodySource(Protocol):
    """What a stream tells the connection that feeds it."""

    def pause_body(self) -> None:
        """Stop reading from the socket."""

    def resume_body(self) -> None:
        """Read from the socket again."""


class BodyStream:
    """Chunks of one body, in order, ending whole or broken.

    Parameters
    ----------
    source : BodySource
        The connection, told to pause when more than ``HIGH_WATER_BYTES`` wait.
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
        """Return how many bytes have arrived and were not read."""
        return self._size

    def feed(self, data: bytes) -> None:
        """Add a chunk read from the socket."""
        self._chunks.append(data)
        self._size += len(data)
        if self._size > HIGH_WATER_BYTES:
            self._source.pause_body()
        self._wake()

    def finish(self) -> None:
        """Mark the body as whole."""
        self.complete = True
        self._wake()
        if self.on_complete is not None:
            self.on_complete()

    def fail(self, reason: str) -> None:
        """Mark the body as broken, unless it is whole already."""
        if self.complete or self.error is not None:
            return
        self.error = BrokenExchangeError(reason)
        self._wake()

    def take_buffered(self) -> bytes:
        """Return all chunks that have arrived, without waiting."""
        if not self._chunks:
            return b""
        if len(self._chunks) == 1:
            data = self._chunks.popleft()
        else:
            data = b"".join(self._chunks)
            self._chunks.clear()
        if self._size > HIGH_WATER_BYTES:
            self._source.resume_body()
        self._size = 0
        return data

    async def read(self) -> bytes:
        """Return what has arrived; ``b""`` after the end of a whole body.

        Raises
        ------
        BrokenExchangeError
            If the body broke off.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self.take_buffered()

    async def read_all(self, *, piece_timeout: float | None = None) -> bytes:
        """Return the rest of a whole body.

        Parameters
        ----------
        piece_timeout : float, optional
            Seconds to wait for each piece at most.

        Raises
        ------
        BrokenExchangeError
            If the body broke off.
        TimeoutError
            If a piece did not come in time.
        """
        data = b""
        while True:
            async with asyncio.timeout(piece_timeout):
                piece = await self.read()
            if not piece:
                return data
            data += piece

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
