"""An HTTP server of another program that listens where a node listened before."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.node.loopback_listener import LoopbackListener

if TYPE_CHECKING:
    import asyncio


class ForeignServer(LoopbackListener):
    """Answers every request with 200 and records its head.

    Attributes
    ----------
    heads : list of bytes
        Heads of all requests received.
    """

    def __init__(self) -> None:
        super().__init__()
        self.heads: list[bytes] = []

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            self.heads.append(head)
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
            await reader.readexactly(int(fields.get(b"content-length", b"0")))
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nforeign")
            await writer.drain()
