"""A relay between callers, nodes and backend servers that injects a fault at a given step."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.adapter.http.node_connections import IDENTITY_PATH
from tests.node.loopback_listener import LoopbackListener

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass
class _Carried:
    """What one connection carries at the moment."""

    is_identity: bool = False


class FaultyRelay(LoopbackListener):
    """A relay that injects a fault at one step of the first exchange it carries.

    The exchange in which a node states its identity is left alone unless the fault is injected for
    it; the exchange after it is then left alone.

    Steps: ``connect``, ``send`` (nothing of the request forwarded), ``send-half``,
    ``sent`` (all of it forwarded), ``answer`` (nothing of the answer sent back),
    ``answer-half``, ``answer-end`` (all but three bytes). Faults: ``cut``,
    ``freeze``, ``delay``, ``duplicate``, or a callable.
    """

    def __init__(self, upstream: tuple[str, int]) -> None:
        super().__init__()
        self.upstream = upstream
        self.step = ""
        self.fault: str | Callable[[], object] = ""
        self.hits = 0
        self.is_for_identity = False

    async def restart(self, *, upstream: tuple[str, int]) -> None:
        """Drop all connections and relay new ones to another address."""
        self.upstream = upstream
        self.drop_connections()
        await asyncio.sleep(0.01)

    def inject(
        self, step: str, fault: str | Callable[[], object], *, for_identity: bool = False
    ) -> None:
        self.step, self.fault, self.hits = step, fault, 0
        self.is_for_identity = for_identity

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._fail_at("connect")
        carried = _Carried()
        up_reader, up_writer = await asyncio.open_connection(*self.upstream)
        forward = asyncio.ensure_future(self._pump_requests(reader, up_writer, carried))
        backward = asyncio.ensure_future(self._pump_answers(up_reader, writer, carried))
        try:
            await asyncio.wait([forward, backward], return_when=asyncio.FIRST_COMPLETED)
        finally:
            forward.cancel()
            backward.cancel()
            await asyncio.gather(forward, backward, return_exceptions=True)
            up_writer.transport.abort()

    async def _pump_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, carried: _Carried
    ) -> None:
        while data := await reader.read(65536):
            carried.is_identity = data.startswith(b"GET " + IDENTITY_PATH + b" ")
            if carried.is_identity != self.is_for_identity:
                writer.write(data)
                continue
            await self._fail_at("send")
            half = len(data) // 2
            writer.write(data[:half])
            await self._fail_at("send-half")
            writer.write(data[half:])
            await writer.drain()
            if self.step == "sent" and self.fault == "duplicate" and self._is_first_hit():
                await self._replay(data)
            await self._fail_at("sent")

    async def _pump_answers(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, carried: _Carried
    ) -> None:
        while data := await reader.read(65536):
            if carried.is_identity != self.is_for_identity:
                writer.write(data)
                continue
            await self._fail_at("answer")
            half = len(data) // 2
            writer.write(data[:half])
            await self._fail_at("answer-half")
            writer.write(data[half:-3])
            await self._fail_at("answer-end")
            writer.write(data[-3:])

    async def _replay(self, data: bytes) -> None:
        _, writer = await asyncio.open_connection(*self.upstream)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    def _is_first_hit(self) -> bool:
        self.hits += 1
        return self.hits == 1

    async def _fail_at(self, step: str) -> None:
        if step != self.step or self.fault == "duplicate" or not self._is_first_hit():
            return
        if self.fault == "cut":
            raise ConnectionError("cut")
        if self.fault == "freeze":
            await asyncio.sleep(3600)
        if self.fault == "delay":
            await asyncio.sleep(0.05)
        if callable(self.fault):
            self.fault()
