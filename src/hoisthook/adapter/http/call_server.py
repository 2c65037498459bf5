"""A listening socket whose requests go to one handler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.message import encode_answer_head
from hoisthook.adapter.http.server_connection import ServerConnection
from hoisthook.exceptions import HoisthookError
from hoisthook.identity import format_address
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_connection import Handler
    from hoisthook.identity import Address

HEAD_TIMEOUT_SECONDS = 10.0
# Beyond the time for which any client pool of ours keeps a connection.
IDLE_TIMEOUT_SECONDS = 60.0
MAX_HEAD_BYTES = 32 * 1024
LEAVE_GRACE_SECONDS = 0.3
MAX_CONNECTIONS = 4096
BACKLOG = 1024


class CallServer:
    """Serves calls until closed; closing cuts no exchange in progress.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 lets the system choose.
    handler : Handler
        Awaited once for each request.
    head_timeout : float
        Seconds within which a head that has begun must be whole.
    idle_timeout : float
        Seconds after which a connection without a request is closed.
    continues_at_once : bool
        Whether a body that is held back is asked for at once; otherwise by the handler.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        *,
        head_timeout: float = HEAD_TIMEOUT_SECONDS,
        idle_timeout: float = IDLE_TIMEOUT_SECONDS,
        continues_at_once: bool = True,
    ) -> None:
        self._address = address
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._handling = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.handler = handler
        self.stopping = False
        self.continues_at_once = continues_at_once
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout
        self.max_head_bytes = MAX_HEAD_BYTES

    @property
    def address(self) -> Address:
        """Return the address listened on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        HoisthookError
            With ``PORT_UNAVAILABLE`` if the address cannot be opened.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: ServerConnection(self), *self._address, backlog=BACKLOG
            )
        except OSError as error:
            detail = f"{format_address(self._address)}: {error.strerror}"
            raise HoisthookError(ResultCode.PORT_UNAVAILABLE, detail) from error

    def stop_listening(self) -> None:
        """Take no new connection and tell those open to leave."""
        self.stopping = True
        if self._server is not None:
            self._server.close()

    async def close(self, timeout: float) -> bool:
        """Wait for the exchanges in progress, at most ``timeout`` seconds.

        A request that arrives on an open connection meanwhile still reaches the
        handler, whose answer then closes the connection; idle connections are
        closed after `LEAVE_GRACE_SECONDS`.

        Returns
        -------
        bool
            Whether every exchange ended by itself.
        """
        self.stop_listening()
        try:
            async with asyncio.timeout(timeout):
                if self._connections:
                    await asyncio.sleep(LEAVE_GRACE_SECONDS)
                for connection in list(self._connections):
                    connection.leave()
                await self._idle.wait()
        except TimeoutError:
            for connection in list(self._connections):
                connection.abort()
            return False
        return True

    def abort(self) -> None:
        """Close the socket and drop all connections at once, as a crash would."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.abort()

    def opened(self, connection: ServerConnection) -> None:
        """Count a connection in; drop it at once when there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            connection.abort()
        self._connections.add(connection)
        self._idle.clear()

    def closed(self, connection: ServerConnection) -> None:
        """Count a connection out."""
        self._connections.discard(connection)
        self._set_idle()

    def began(self) -> None:
        """Count a request in whose handler runs."""
        self._handling += 1
        self._idle.clear()

    def ended(self) -> None:
        """Count it out; its caller may have gone before."""
        self._handling -= 1
        self._set_idle()

    def _set_idle(self) -> None:
        if not self._connections and not self._handling:
            self._idle.set()

    def bad_request(self, code: ResultCode) -> bytes:
        """Return the answer to a request that cannot be parsed."""
        entry = code.value
        headers = [
            (b"hoisthook-result", f"{entry.number} {code.name}".encode()),
            (b"hoisthook-ran", entry.ran.value.encode()),
            (b"content-length", b"0"),
            (b"connection", b"close"),
        ]
        return encode_answer_head(entry.http_status, headers)
