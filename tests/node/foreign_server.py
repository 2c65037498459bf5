"""An HTTP server of another program that listens where a node listened before."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.adapter.http.node_connections import IDENTITY
from hoisthook.adapter.http.node_connections import IDENTITY_PATH
from tests.node.loopback_listener import LoopbackListener

if TYPE_CHECKING:
    import asyncio


class ForeignServer(LoopbackListener):
    """Answers every request with 200 and records its head.

    Attributes
    ----------
    heads : list of bytes
        Heads of all requests received.
    stated_identity : str
        Identity that its answers state, as only a faulty program would; empty for none.
    is_silent : bool
        Whether it reads requests and answers none.
    """

    def __init__(self) -> None:
        super().__init__()
        self.heads: list[bytes] = []
        self.stated_identity = ""
        self.is_silent = False

    def requests(self) -> list[bytes]:
        """Return the request lines of all but the questions for a node's identity."""
        lines = [head.split(b"\r\n", 1)[0] for head in self.heads]
        return [line for line in lines if IDENTITY_PATH not in line]

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            self.heads.append(head)
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
            await reader.readexactly(int(fields.get(b"content-length", b"0")))
            if self.is_silent:
                continue
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n")
            if self.stated_identity:
                writer.write(b"%b: %b\r\n" % (IDENTITY, self.stated_identity.encode()))
            writer.write(b"\r\nforeign")
            await writer.drain()
