"""Clients that send a stream of bytes and then leave their connections open."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from hoisthook.identity import Address

# A client that the node stops reading from is done, too.
SEND_SECONDS = 8.0
CONNECT_SECONDS = 5.0
# Small, so that what a client does not read stays at the node.
RECEIVE_BUFFER_BYTES = 4096
SLOW_READ_BYTES = 64
SLOW_READ_SECONDS = 0.2


class CrowdClient:
    """One client.

    Attributes
    ----------
    sent : int
        Bytes that it has handed to its socket.
    is_closed : bool
        Whether the node has closed the connection.
    """

    def __init__(self, address: Address, pieces: Iterator[bytes], *, reads: bool) -> None:
        self._address = address
        self._pieces = pieces
        self._reads = reads
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._reader: asyncio.Task[None] | None = None
        self.received = b""
        self.sent = 0
        self.is_closed = False

    async def send(self) -> None:
        """Send until all is sent, the node closes the connection, or it does not read on."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.sock_connect(self._socket, self._address)
            self._reader = loop.create_task(self._read())
            async with asyncio.timeout(SEND_SECONDS):
                for piece in self._pieces:
                    await loop.sock_sendall(self._socket, piece)
                    self.sent += len(piece)
                    if self.is_closed:
                        return
        except TimeoutError:
            return
        except OSError:
            self.is_closed = True

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        size = RECEIVE_BUFFER_BYTES if self._reads else SLOW_READ_BYTES
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(self._socket, size):
                if self._reads:
                    self.received += data
                else:
                    await asyncio.sleep(SLOW_READ_SECONDS)
        self.is_closed = True

    @property
    def status(self) -> int | None:
        """Return the status of the first answer; None if there is none."""
        fields = self.received.split(b" ", 2)
        return int(fields[1]) if len(fields) > 2 else None

    def close(self) -> None:
        """Reset the connection."""
        if self._reader is not None:
            self._reader.cancel()
        self._socket.close()


class Crowd:
    """Clients of one kind.

    Parameters
    ----------
    address : Address
        Where they send to.
    stream : callable
        Returns the pieces that a client sends.
    count : int
        Number of clients.
    reads : bool
        Whether they read answers as they come; otherwise a few bytes at a time.
    """

    def __init__(
        self,
        address: Address,
        stream: Callable[[], Iterator[bytes]],
        count: int,
        *,
        reads: bool = True,
    ) -> None:
        self.clients = [CrowdClient(address, stream(), reads=reads) for _ in range(count)]

    async def start(self) -> None:
        """Send; returns once each client is done, with the connections left open."""
        await asyncio.gather(*(client.send() for client in self.clients))

    def close(self) -> None:
        """Reset all connections."""
        for client in self.clients:
            client.close()
