"""A stand-in for the platform's append-only log service.

Usage: python -m standin.platform_log --port PORT

``POST /streams/NAME/records`` appends; ``GET`` of the same with ``offset``,
``limit`` and ``wait_ms`` reads. ``POST /faults`` sets faults: ``outage`` (status
503 for all calls), ``delay_ms``, ``lose_answers`` (number of appends that take
effect without a response), ``keep`` (records retained in each stream).
"""

from __future__ import annotations

import argparse
import asyncio
import base64
from typing import TYPE_CHECKING

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request


class Faults(msgspec.Struct):
    """Faults that are injected at present."""

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    keep: int = 1_000_000


class Stream:
    """Records with consecutive offsets."""

    def __init__(self) -> None:
        self.earliest = 0
        self.records: list[bytes] = []
        self.grown = asyncio.Condition()

    @property
    def next(self) -> int:
        """Return the offset of the next append."""
        return self.earliest + len(self.records)

    def expire(self, keep: int) -> None:
        """Drop the oldest records, so that at most ``keep`` remain."""
        surplus = len(self.records) - keep
        if surplus > 0:
            del self.records[:surplus]
            self.earliest += surplus


class PlatformLogStandin:
    """State and request handlers of the log service."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.appends = 0
        self.reads = 0
        self._stream_by_name: dict[str, Stream] = {}

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/streams/{name}/records", self.append, methods=["POST"]),
                Route("/streams/{name}/records", self.read, methods=["GET"]),
                Route("/faults", self.set_faults, methods=["POST"]),
                Route("/counts", self.counts, methods=["GET"]),
            ]
        )

    async def append(self, request: Request) -> Response:
        """Append a record, subject to the current faults."""
        body = await request.body()
        if self.faults.outage:
            return JSONResponse({"error": "outage"}, status_code=503)
        await asyncio.sleep(self.faults.delay_ms / 1000)
        stream = self._stream(request)
        offset = stream.next
        stream.records.append(body)
        stream.expire(self.faults.keep)
        self.appends += 1
        async with stream.grown:
            stream.grown.notify_all()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionAbortedError("response lost by the injected fault")
        return JSONResponse({"offset": offset})

    async def read(self, request: Request) -> Response:
        """Return records from an offset on; wait up to ``wait_ms`` if there are none."""
        if self.faults.outage:
            return JSONResponse({"error": "outage"}, status_code=503)
        self.reads += 1
        await asyncio.sleep(self.faults.delay_ms / 1000)
        query = request.query_params
        offset = int(query.get("offset", "0"))
        limit = int(query.get("limit", "500"))
        wait = int(query.get("wait_ms", "0")) / 1000
        stream = self._stream(request)
        if wait > 0 and offset >= stream.next:
            await self._wait_for(stream, offset, wait)
        first = max(offset, stream.earliest)
        payloads = stream.records[first - stream.earliest :][:limit]
        records = [
            {"offset": first + number, "payload": base64.b64encode(payload).decode()}
            for number, payload in enumerate(payloads)
        ]
        return JSONResponse({"earliest": stream.earliest, "next": stream.next, "records": records})

    async def set_faults(self, request: Request) -> Response:
        """Replace the faults."""
        self.faults = msgspec.json.decode(await request.body(), type=Faults)
        for stream in self._stream_by_name.values():
            stream.expire(self.faults.keep)
        return JSONResponse({})

    async def counts(self, _: Request) -> Response:
        """Return the numbers of appends and reads."""
        return JSONResponse({"appends": self.appends, "reads": self.reads})

    async def _wait_for(self, stream: Stream, offset: int, wait: float) -> None:
        try:
            async with asyncio.timeout(wait), stream.grown:
                await stream.grown.wait_for(lambda: stream.next > offset)
        except TimeoutError:
            return

    def _stream(self, request: Request) -> Stream:
        return self._stream_by_name.setdefault(request.path_params["name"], Stream())


def main() -> None:
    """Run the log service."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    uvicorn.run(
        PlatformLogStandin().app(),
        host="127.0.0.1",
        port=arguments.port,
        loop="asyncio",
        log_level="critical",
        timeout_graceful_shutdown=1,
    )


if __name__ == "__main__":
    main()
