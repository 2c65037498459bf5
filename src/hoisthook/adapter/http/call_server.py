"""HTTP server that passes its requests to one handler."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from hoisthook.adapter.http.byte_budget import MEMORY_RETRY_SECONDS
from hoisthook.adapter.http.byte_budget import ByteBudget
from hoisthook.adapter.http.message import encode_answer_head
from hoisthook.adapter.http.server_connection import ServerConnection
from hoisthook.exceptions import HoisthookError
from hoisthook.identity import format_address
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_connection import Handler
    from hoisthook.identity import Address

HEAD_TIMEOUT_SECONDS = 10.0
# Longer than `ClientPool` keeps an idle connection, so that the client closes it first.
IDLE_TIMEOUT_SECONDS = 60.0
MAX_HEAD_BYTES = 32 * 1024
# Bytes of a connection that are processed in one iteration of the event loop.
RECEIVE_BUFFER_BYTES = 16 * 1024
IDLE_CLOSE_DELAY_SECONDS = 0.3
MAX_CONNECTIONS = 4096
BACKLOG = 1024
# Largest backlog as a share of the connections that a server may have.
BACKLOG_SHARE = 0.25


class CallServer:
    """Serves requests until closed; exchanges in progress are completed before.

    Parameters
    ----------
    address : Address
        Address to listen on; with port 0 the operating system selects a port.
    handler : Handler
        Awaited once for each request.
    head_timeout : float
        Time within which a request head must be complete, in seconds.
    idle_timeout : float
        Time after which a connection without a request is closed, in seconds.
    auto_continue : bool
        Whether 100 (Continue) is sent at once to a request that expects it; if not, the handler
        sends it.
    budget : ByteBudget, optional
        For what its connections hold; unlimited by default.
    max_connections : int
        Largest number of its connections. Beyond that, idle ones are closed for new ones.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        *,
        head_timeout: float = HEAD_TIMEOUT_SECONDS,
        idle_timeout: float = IDLE_TIMEOUT_SECONDS,
        auto_continue: bool = True,
        budget: ByteBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._address = address
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._running_handlers = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.handler = handler
        self.stopping = False
        self.auto_continue = auto_continue
        self.budget = budget or ByteBudget(sys.maxsize)
        self._max_connections = max_connections
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout
        self.max_head_bytes = MAX_HEAD_BYTES
        # One for all connections: its bytes are copied before the next read.
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))

    @property
    def address(self) -> Address:
        """Return the address that the server listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        HoisthookError
            With ``PORT_UNAVAILABLE`` if the server cannot listen on the address.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: ServerConnection(self),
                *self._address,
                # As many connections are accepted at once, before they are counted.
                backlog=min(BACKLOG, max(1, int(BACKLOG_SHARE * self._max_connections))),
            )
        except OSError as error:
            detail = f"{format_address(self._address)}: {error.strerror}"
            raise HoisthookError(ResultCode.PORT_UNAVAILABLE, detail) from error

    def stop_listening(self) -> None:
        """Accept no new connections; those that are open close after their next answer."""
        self.stopping = True
        if self._server is not None:
            self._server.close()

    async def close(self, timeout: float) -> bool:
        """Stop listening and wait up to ``timeout`` seconds for the exchanges in progress.

        A request that arrives on an open connection meanwhile is still passed to the handler; its
        answer closes the connection. Idle connections are closed after
        `IDLE_CLOSE_DELAY_SECONDS`, those still open after ``timeout`` seconds are aborted.

        Returns
        -------
        bool
            Whether all exchanges were completed in time.
        """
        self.stop_listening()
        try:
            async with asyncio.timeout(timeout):
                if self._connections:
                    await asyncio.sleep(IDLE_CLOSE_DELAY_SECONDS)
                for connection in list(self._connections):
                    connection.close_if_idle()
                await self._idle.wait()
        except TimeoutError:
            for connection in list(self._connections):
                connection.abort()
            return False
        return True

    def abort(self) -> None:
        """Close the socket and abort all connections immediately, as a crash would."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register a connection; if there are too many, close the longest idle one, or this one.

        Those that have not been used yet are closed first.
        """
        if len(self._connections) >= self._max_connections:
            idle = (c for c in self._connections if not c.busy and not c.is_closing)
            min(idle, key=_last_use, default=connection).abort()
        self._connections.add(connection)
        self._idle.clear()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)
        self._update_idle()

    def handler_started(self) -> None:
        """Count a running handler."""
        self._running_handlers += 1
        self._idle.clear()

    def handler_ended(self) -> None:
        """Count a handler that has ended, possibly after its connection was closed."""
        self._running_handlers -= 1
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._connections and not self._running_handlers:
            self._idle.set()

    def bad_request(self, code: ResultCode) -> bytes:
        """Return the encoded answer to a request that cannot be parsed."""
        entry = code.value
        headers = [
            (b"hoisthook-result", f"{entry.number} {code.name}".encode()),
            (b"hoisthook-ran", entry.ran.value.encode()),
            (b"content-length", b"0"),
            (b"connection", b"close"),
        ]
        if code is ResultCode.NODE_MEMORY_FULL:
            headers.append((b"retry-after", b"%.1f" % MEMORY_RETRY_SECONDS))
        return encode_answer_head(entry.http_status, headers)


def _last_use(connection: ServerConnection) -> tuple[bool, float]:
    return connection.is_used, connection.account.received_at
