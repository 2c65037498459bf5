"""A backend server on raw streams."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tests.node.loopback_listener import LoopbackListener

if TYPE_CHECKING:
    from collections.abc import Callable


class Backend(LoopbackListener):
    """A backend server on raw streams that records each request before it runs it."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.runs: list[str] = []
        self.headers: list[bytes] = []
        self.work_seconds = 0.0
        self.release: asyncio.Event | None = None
        self.raw_answer: Callable[[str], bytes] | None = None
        self.truncate_before: bytes | None = None
        self.crashes_on: str | None = None
        self.active = 0
        self.max_active = 0
        self.cancelled = 0

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await self._serve_one(reader, writer):
            pass

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
        body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
        name = headers[b"x-run"].decode()
        self.runs.append(name)
        self.headers.append(head)
        self.active += 1
        self.max_active = max(self.max_active, self.active)
        try:
            if self.release is not None:
                await self.release.wait()
            if name == self.crashes_on:
                return False
            if self.work_seconds:
                await self._work(reader)
            writer.write(self._answer(name, body))
            await writer.drain()
            return self.truncate_before is None
        finally:
            self.active -= 1

    async def _work(self, reader: asyncio.StreamReader) -> None:
        """Work until done, or until the request is cancelled by closing its connection."""
        disconnected = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([disconnected], timeout=self.work_seconds)
        disconnected.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await disconnected
        if done:
            self.cancelled += 1
            raise ConnectionError("cancelled")

    def _answer(self, name: str, body: bytes) -> bytes:
        if self.raw_answer is not None:
            return self.raw_answer(name)
        content = f"{name}|{body.decode()}|{self.name}|{'.' * 200}".encode()
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(content)
        complete = head + content
        return (
            complete
            if self.truncate_before is None
            else complete[: complete.index(self.truncate_before)]
        )
