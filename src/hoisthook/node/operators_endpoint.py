"""The gRPC server for operators' calls."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from grpclib.server import Server

from hoisthook.exceptions import HoisthookError
from hoisthook.identity import format_address
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.operator_service import OperatorService
    from hoisthook.identity import Address


class OperatorsEndpoint:
    """Serves operators' gRPC calls until it is closed.

    Parameters
    ----------
    address : Address
        Address to listen on; port 0 lets the system choose a port.
    service : OperatorService
        Answers the calls.

    Attributes
    ----------
    address : Address
        The address it listens on, once started.
    """

    def __init__(self, address: Address, service: OperatorService) -> None:
        self.address = address
        self._service = service
        self._server: Server | None = None

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        HoisthookError
            With ``PORT_UNAVAILABLE`` if the address cannot be opened.
        """
        server = Server([self._service])
        try:
            listening = socket.create_server(self.address)
        except OSError as error:
            detail = f"{format_address(self.address)}: {error.strerror}"
            raise HoisthookError(ResultCode.PORT_UNAVAILABLE, detail) from error
        self.address = listening.getsockname()[:2]
        await server.start(sock=listening)
        self._server = server

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
