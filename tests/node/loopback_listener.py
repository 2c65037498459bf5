"""A listening socket on loopback with one handler for each connection."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod

from standin.loopback_ports import HOST


class LoopbackListener(ABC):
    """Runs `handle_connection` for each connection; `close` drops all of them."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ("", 0)

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.address = self._server.sockets[0].getsockname()

    def close(self) -> None:
        assert self._server is not None
        self._server.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    @abstractmethod
    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, which is dropped after the return."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.handle_connection(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
