"""Back pressure of a connection, in both directions."""

from __future__ import annotations

import asyncio
from collections import deque

# Large messages are copied to the transport in pieces, as it has space.
PIECE_BYTES = 64 * 1024


class FlowControl(asyncio.BaseProtocol):
    """A protocol that can wait for its transport and pause reading from the other side."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._is_write_paused = False
        self._unsent: deque[memoryview] = deque()
        self._flush_waiter: asyncio.Future[None] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the transport can still be used."""
        raise NotImplementedError

    @property
    def has_unsent(self) -> bool:
        """Return whether written bytes wait for space at the transport, or it is full."""
        return self._is_write_paused or bool(self._unsent)

    def pause_body(self) -> None:
        """Pause reading while the reader of the body lags behind."""
        if self._transport is not None and self.is_open:
            self._transport.pause_reading()

    def resume_body(self) -> None:
        """Resume reading."""
        if self._transport is not None and self.is_open:
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Make `drain` wait, as the write buffer is full (asyncio callback)."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Send on, as the write buffer has space again (asyncio callback)."""
        self._is_write_paused = False
        self._send_pieces()
        if not self.has_unsent:
            self.flushed()

    def flushed(self) -> None:
        """Process that everything written has been passed on."""
        self.release_writer()

    def release_writer(self) -> None:
        """Wake the writer that waits in `drain`."""
        if self._flush_waiter is not None and not self._flush_waiter.done():
            self._flush_waiter.set_result(None)

    def write(self, *parts: bytes) -> None:
        """Send bytes as the transport has space, unless the connection is closed."""
        if self._transport is None or not self.is_open:
            return
        if not self.has_unsent and sum(map(len, parts)) <= PIECE_BYTES:
            self._transport.write(b"".join(parts))
            return
        self._unsent.extend(memoryview(part) for part in parts if part)
        self._send_pieces()

    async def drain(self) -> None:
        """Wait until everything has been passed on or the connection is closed."""
        if self.has_unsent and self.is_open:
            self._flush_waiter = asyncio.get_running_loop().create_future()
            await self._flush_waiter

    def _send_pieces(self) -> None:
        while self._unsent and not self._is_write_paused and self.is_open:
            assert self._transport is not None
            self._transport.write(self._next_piece())

    def _next_piece(self) -> bytes:
        parts: list[memoryview] = []
        space = PIECE_BYTES
        while self._unsent and space > 0:
            part = self._unsent.popleft()
            parts.append(part[:space])
            if len(part) > space:
                self._unsent.appendleft(part[space:])
            space -= len(parts[-1])
        return b"".join(parts)
