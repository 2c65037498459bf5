"""Back pressure of a connection, in both directions."""

from __future__ import annotations

import asyncio


class FlowControl(asyncio.BaseProtocol):
    """A protocol that can wait for its transport and pause reading from the other side."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._write_paused = False
        self._write_waiter: asyncio.Future[None] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the transport can still be used."""
        raise NotImplementedError

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
        self._write_paused = True

    def resume_writing(self) -> None:
        """Let `drain` continue, as the write buffer has space again (asyncio callback)."""
        self._write_paused = False
        self.release_writer()

    def release_writer(self) -> None:
        """Wake the writer that waits in `drain`."""
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed."""
        if self._transport is not None and self.is_open:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has space or the connection is closed."""
        if self._write_paused and self.is_open:
            self._write_waiter = asyncio.get_running_loop().create_future()
            await self._write_waiter
