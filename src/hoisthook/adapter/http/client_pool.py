"""Pool of idle client connections by address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.byte_budget import ByteBudget
from hoisthook.adapter.http.client_connection import ClientConnection
from hoisthook.adapter.http.stall_tolerant_timeout import stall_tolerant_timeout
from hoisthook.exceptions import UnreachableError

if TYPE_CHECKING:
    from hoisthook.identity import Address

IDLE_LIMIT_SECONDS = 20.0
MAX_IDLE_PER_ADDRESS = 32
DEFAULT_ANSWER_BYTES = 32 * 1024 * 1024


class ClientPool:
    """Keeps connections for reuse; the most recently used one is reused first.

    A connection that has been idle for longer than ``idle_limit`` is closed instead of reused, well
    before the other side would close it.

    Parameters
    ----------
    idle_limit : float
        Longest idle time of a connection that is reused, in seconds.
    budget : ByteBudget, optional
        For the answers on all its connections; one of `DEFAULT_ANSWER_BYTES` by default.
    """

    def __init__(
        self, *, idle_limit: float = IDLE_LIMIT_SECONDS, budget: ByteBudget | None = None
    ) -> None:
        self._idle_limit = idle_limit
        self._budget = budget or ByteBudget(DEFAULT_ANSWER_BYTES)
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

        A connection that was opened during a stall of the event loop is used, not timed out.

        Raises
        ------
        UnreachableError
            If the connection is refused or not open within ``timeout`` seconds.
        """
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with stall_tolerant_timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._budget), *address
                )
        except (OSError, TimeoutError) as error:
            raise UnreachableError(f"{address[0]}:{address[1]}: {error}") from error
        return connection

    async def acquire(self, address: Address, timeout: float) -> ClientConnection:
        """Return an idle connection, or open a new one.

        Raises
        ------
        UnreachableError
            If no connection could be opened; nothing has been sent.
        """
        connection = self.take_idle(address)
        if connection is not None:
            return connection
        return await self.open(address, timeout)

    def keep(self, address: Address, connection: ClientConnection) -> None:
        """Keep a connection for reuse, or close it if it is not reusable or the pool is full."""
        not_reusable = connection.closed or (connection.exchanges and not connection.reusable)
        if not_reusable or self._closed:
            connection.close()
            return
        idle = self._idle_by_address.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)

    def forget(self, address: Address) -> None:
        """Close the idle connections to one address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def drop_idle(self) -> None:
        """Close the connections that exceed the idle limit."""
        now = asyncio.get_running_loop().time()
        for address in list(self._idle_by_address):
            remaining = []
            for connection in self._idle_by_address[address]:
                if connection.closed:
                    continue
                if now - connection.idle_since > self._idle_limit:
                    connection.close()
                    continue
                remaining.append(connection)
            if remaining:
                self._idle_by_address[address] = remaining
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections; those returned later are closed as well."""
        self._closed = True
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()
