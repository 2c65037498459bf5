"""A stand-in for the platform's store: keyed topics, long polls and outages.

Follows the platform's published specification; only the calls that hoisthook uses are there.
"""

from __future__ import annotations

import asyncio
import base64
import struct
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec

from hoisthook.adapter.http.call_server import CallServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import Address

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")
MAX_ITEMS = 500


class Outage(Enum):
    """How the store fails calls.

    ``BUSY`` responds with status 503, ``RESET`` closes the connection, ``SILENT`` never responds,
    and ``ANSWER_LOST`` applies appends but never responds.
    """

    NONE = "none"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"
    ANSWER_LOST = "answer-lost"


class Topic:
    """The records of a topic, which has one partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.grown = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return len(self.records)

    def append(self, contents: list[bytes]) -> int:
        """Add records and wake the readers; return the first one's offset."""
        offset = self.end
        self.records.extend(contents)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def newest(self) -> dict[str, tuple[bytes, int]]:
        """Return value and offset of the newest record of each key."""
        found: dict[str, tuple[bytes, int]] = {}
        for offset, content in enumerate(self.records):
            key, value = split_record(content)
            if value:
                found[key] = (value, offset)
            else:
                found.pop(key, None)
        return found


class StoreStandin:
    """Serves the store's append, read and newest calls.

    Attributes
    ----------
    outage : Outage
        How calls fail, for all hosts or for those in ``affected_hosts``.
    affected_hosts : set of str
        Hosts that the outage affects; empty for all.
    peers, silent_peers : set of Address
        Remote addresses of the connections seen, and of those that have gone silent for good.
    calls : list of str
        Names of the calls received, in order.
    era : int or None
        Sent with all responses; None to send none.
    on_append : callable or None
        Receives topic and content of each record that a node appends; returns the content that
        is stored.
    """

    def __init__(self, address: Address = ("127.0.0.1", 0)) -> None:
        self.topic_by_name: dict[str, Topic] = {}
        self.outage = Outage.NONE
        self.affected_hosts: set[str] = set()
        self.peers: set[Address] = set()
        self.silent_peers: set[Address] = set()
        self.calls: list[str] = []
        self.era: int | None = None
        self._copied_by_topic: dict[str, list[bytes]] = {}
        self.on_append: Callable[[str, bytes], bytes] | None = None
        self._server = CallServer(address, self.serve)

    @property
    def address(self) -> Address:
        """Return the address that the store listens on."""
        return self._server.address

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.abort()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as an operator does."""
        self.topic(topic).append([join_record(key, value)])

    def forget(self, topic: str) -> None:
        """Expire all records: reads from their offsets fail, the newest of each key remain."""
        kept = self.topic(topic)
        kept.first = kept.end

    def copy(self) -> None:
        """Copy the records of all topics, for `regress`."""
        self._copied_by_topic = {
            name: list(topic.records) for name, topic in self.topic_by_name.items()
        }

    def regress(self) -> None:
        """Regress to the copy in a new era; offsets after the copy are assigned again."""
        self.era = (self.era or 0) + 1
        for name, topic in self.topic_by_name.items():
            topic.records = self._copied_by_topic.get(name, [])[:]
            topic.first = min(topic.first, topic.end)
            topic.append([])

    def topic(self, name: str) -> Topic:
        """Return a topic, made on first use."""
        return self.topic_by_name.setdefault(name, Topic())

    async def serve(self, exchange: ServerExchange) -> None:
        """Serve one call."""
        path, _, query = exchange.head.target.decode().partition("?")
        name = path.rpartition("/")[2]
        self.calls.append(name)
        self.peers.add(exchange.peer)
        if exchange.peer in self.silent_peers:
            await asyncio.Event().wait()
        body = await exchange.body.read_all()
        if self.outage is not Outage.NONE and (
            not self.affected_hosts or exchange.peer[0] in self.affected_hosts
        ):
            if self.outage is Outage.ANSWER_LOST and name == "log-append":
                self._append(parse_qs(query), body)
            await self._reject(exchange)
            return
        fields = parse_qs(query)
        if name == "log-append":
            offset = self._append(fields, body)
            self._answer(exchange, {"offset": offset, "end": self.topic(fields["topic"][0]).end})
        elif name == "log-newest":
            self._newest(exchange, fields)
        elif name == "log-read":
            await self._read(exchange, fields)
        else:
            exchange.respond(404, [])

    async def _reject(self, exchange: ServerExchange) -> None:
        if self.outage is Outage.BUSY:
            exchange.respond(503, [])
        elif self.outage is Outage.RESET:
            exchange.abort()
        else:
            await asyncio.Event().wait()

    def _append(self, fields: dict[str, list[str]], body: bytes) -> int:
        contents = []
        position = 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            content = body[position : position + length]
            if self.on_append is not None:
                content = self.on_append(fields["topic"][0], content)
            contents.append(content)
            position += length
        return self.topic(fields["topic"][0]).append(contents)

    def _newest(self, exchange: ServerExchange, fields: dict[str, list[str]]) -> None:
        topic = self.topic(fields["topic"][0])
        after = fields.get("after", [""])[0]
        rows = [row for row in sorted(topic.newest().items()) if row[0] > after]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in rows[:MAX_ITEMS]
        ]
        more = len(rows) > MAX_ITEMS
        self._answer(exchange, {"items": items, "hasMore": more, "end": topic.end})

    async def _read(self, exchange: ServerExchange, fields: dict[str, list[str]]) -> None:
        topic = self.topic(fields["topic"][0])
        start = int(fields["from"][0])
        if not topic.first <= start <= topic.end:
            exchange.respond(410, self._era_headers(), msgspec.json.encode({"first": topic.first}))
            return
        if topic.end <= start:
            try:
                async with asyncio.timeout(int(fields.get("waitMs", ["0"])[0]) / 1000.0):
                    await topic.grown.wait()
            except TimeoutError:
                pass
        body = READ_HEAD.pack(topic.end, topic.first)
        for content in topic.records[start:]:
            body += LENGTH.pack(len(content)) + content
        exchange.respond(200, self._era_headers(), body)

    def _answer(self, exchange: ServerExchange, fields: dict[str, object]) -> None:
        headers = [*self._era_headers(), (b"content-type", b"application/json")]
        exchange.respond(200, headers, msgspec.json.encode(fields))

    def _era_headers(self) -> list[Header]:
        return [] if self.era is None else [(b"store-era", b"%d" % self.era)]


def join_record(key: str, value: bytes) -> bytes:
    """Return the content of a keyed record."""
    return bytes([len(key)]) + key.encode() + value


def split_record(content: bytes) -> tuple[str, bytes]:
    """Return key and value of a keyed record's content."""
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]
