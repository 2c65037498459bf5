"""A proxy on loopback whose connections can be delayed, reset, cut one way or silenced."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import Address

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.15


class Link(Enum):
    """What the proxy does to bytes."""

    SOUND = "sound"
    DELAYED = "delayed"
    SILENT = "silent"
    ONE_WAY = "one-way"
    REFUSED = "refused"


class FaultProxy:
    """Copies bytes to one address for as long as its link is sound.

    Parameters
    ----------
    target : Address
        Where the bytes go.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.link = Link.SOUND

    @property
    def address(self) -> Address:
        """Return where it listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def start(self) -> None:
        """Open the socket."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def close(self) -> None:
        """Drop everything."""
        if self._server is not None:
            self._server.close()
        self.link = Link.SOUND
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.link is Link.REFUSED:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, far_writer))
        try:
            await asyncio.gather(
                self._copy(reader, far_writer, forth=True),
                self._copy(far_reader, writer, forth=False),
            )
        finally:
            self._writers.difference_update((writer, far_writer))
            writer.transport.abort()
            far_writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forth: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if self.link is Link.DELAYED:
                    await asyncio.sleep(DELAY_SECONDS)
                # Held bytes are lost with the connection, as behind a partition.
                while self.link is Link.SILENT or (self.link is Link.ONE_WAY and not forth):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
