"""A stand-in for the platform's store: the calls that nodes make, as the users' page has them."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs

from common.wire import Message
from common.wire import Server
from common.wire import encode_response

ANSWER_SECONDS = 0.004
PAGE = 500


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.grown = asyncio.Event()

    def append(self, contents: list[bytes]) -> int:
        offset = len(self.records)
        self.records += contents
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """Keyed topics with one partition each.

    Parameters
    ----------
    port : int
        Port to listen on.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self._topics: dict[str, _Topic] = {}
        self._server = Server(self._serve)

    async def start(self) -> None:
        """Listen."""
        await self._server.start(self.port)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator does."""
        self._topic(topic).append([bytes([len(key)]) + key.encode() + value])

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _serve(self, request: Message, writer: asyncio.StreamWriter) -> bytes | None:
        path, _, query = request.target.partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        await asyncio.sleep(ANSWER_SECONDS)
        topic = self._topic(fields.get("topic", ""))
        match path.rpartition("/")[2]:
            case "log-append":
                return self._append(topic, request.body)
            case "log-newest":
                return self._newest(topic, fields.get("after", ""))
            case "log-read":
                return await self._read(topic, fields)
            case _:
                return encode_response(404, {})

    def _append(self, topic: _Topic, body: bytes) -> bytes:
        contents = []
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            contents.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        offset = topic.append(contents)
        return _json({"offset": offset, "end": len(topic.records)})

    def _newest(self, topic: _Topic, after: str) -> bytes:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(topic.records):
            end = 1 + content[0]
            key, value = content[1:end].decode(), content[end:]
            if value:
                newest[key] = (offset, value)
            else:
                newest.pop(key, None)
        rows = [key for key in sorted(newest) if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in rows[:PAGE]
        ]
        return _json({"items": items, "hasMore": len(rows) > PAGE, "end": len(topic.records)})

    async def _read(self, topic: _Topic, fields: dict[str, str]) -> bytes:
        start = int(fields["from"])
        if len(topic.records) <= start:
            try:
                async with asyncio.timeout(int(fields.get("waitMs", "0")) / 1000.0):
                    await topic.grown.wait()
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[start:]:
            body += struct.pack(">I", len(content)) + content
        return encode_response(200, {}, body)


def _json(fields: dict[str, object]) -> bytes:
    return encode_response(200, {"Content-Type": "application/json"}, json.dumps(fields).encode())
