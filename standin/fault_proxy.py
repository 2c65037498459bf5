"""A TCP proxy that can delay, reset or refuse connections, or stall one or both directions."""

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
    """How the proxy treats its connections.

    ``SOUND`` forwards everything, ``DELAYED`` adds a delay to each chunk, ``SILENT`` holds all
    bytes back, ``ONE_WAY`` holds the bytes from the target back, and ``REFUSED`` resets new
    connections.
    """

    SOUND = "sound"
    DELAYED = "delayed"
    SILENT = "silent"
    ONE_WAY = "one-way"
    REFUSED = "refused"


class FaultProxy:
    """Forwards connections to one address, subject to the state of `link`.

    Parameters
    ----------
    target : Address
        Address that connections are forwarded to.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.link = Link.SOUND

    @property
    def address(self) -> Address:
        """Return the address that the proxy listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def close(self) -> None:
        """Stop listening and reset all connections."""
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
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, target_writer))
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, to_target=True),
                self._copy(target_reader, writer, to_target=False),
            )
        finally:
            self._writers.difference_update((writer, target_writer))
            writer.transport.abort()
            target_writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, to_target: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if self.link is Link.DELAYED:
                    await asyncio.sleep(DELAY_SECONDS)
                # Bytes that are held back are lost if the connection is reset, as in a partition.
                while self.link is Link.SILENT or (self.link is Link.ONE_WAY and not to_target):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
