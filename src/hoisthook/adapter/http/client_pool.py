"""Idle client connections, by address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.client_connection import ClientConnection
from hoisthook.exceptions import UnreachableError

if TYPE_CHECKING:
    from hoisthook.identity import Address

IDLE_LIMIT_SECONDS = 20.0
IDLE_PER_ADDRESS = 32


class ClientPool:
    """Connections kept for reuse, the most recently used first.

    A connection that has been idle for too long is dropped rather than used, well
    before the other side would drop it.

    Parameters
    ----------
    idle_limit : float
        Seconds.
    """

    def __init__(self, *, idle_limit: float = IDLE_LIMIT_SECONDS) -> None:
        self._idle_limit = idle_limit
        self.opened = 0
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}
        self._closed = False

    def take_idle(self, address: Address) -> ClientConnection | None:
        """Return an open idle connection, or None."""
        idle = self._idle_by_address.get(address)
        if not idle:
            return None
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.closed:
                continue
            if now - connection.idle_since > self._idle_limit:
                connection.close()
                continue
            return connection
        del self._idle_by_address[address]
        return None

    async def open(self, address: Address, timeout: float) -> ClientConnection:
        """Open a new connection.

        The second half of the time begins when the loop gets to it: one that stood still in the
        first half still takes in a connection that was opened meanwhile.

        Raises
        ------
        UnreachableError
            If it is refused or not open within ``timeout`` seconds.
        """
        loop = asyncio.get_running_loop()
        self.opened += 1
        half = timeout / 2
        try:
            async with asyncio.timeout(None) as bound:
                halfway = loop.call_later(half, lambda: bound.reschedule(loop.time() + half))
                try:
                    _, connection = await loop.create_connection(ClientConnection, *address)
                finally:
                    halfway.cancel()
        except (OSError, TimeoutError) as error:
            raise UnreachableError(f"{address[0]}:{address[1]}: {error}") from error
        return connection

    async def acquire(self, address: Address, timeout: float) -> ClientConnection:
        """Return an idle connection or open one.

        Raises
        ------
        UnreachableError
            If no connection could be opened; nothing was sent then.
        """
        connection = self.take_idle(address)
        if connection is not None:
            return connection
        return await self.open(address, timeout)

    def keep(self, address: Address, connection: ClientConnection) -> None:
        """Keep a connection that is fit for another exchange; drop any other."""
        unfit = connection.closed or (connection.exchanges and not connection.reusable)
        if unfit or self._closed:
            connection.close()
            return
        idle = self._idle_by_address.setdefault(address, [])
        if len(idle) >= IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)

    def forget(self, address: Address) -> None:
        """Drop the idle connections to one address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def drop_idle(self) -> None:
        """Drop connections idle for too long."""
        now = asyncio.get_running_loop().time()
        for address in list(self._idle_by_address):
            kept = []
            for connection in self._idle_by_address[address]:
                if connection.closed:
                    continue
                if now - connection.idle_since > self._idle_limit:
                    connection.close()
                    continue
                kept.append(connection)
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Drop all idle connections."""
        self._closed = True
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()
