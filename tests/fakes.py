"""In-memory fakes for the ports of hoisthook."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.exceptions import AppendUnknownError
from hoisthook.exceptions import LogUnavailableError
from hoisthook.port.platform_log import LogPage
from hoisthook.port.platform_log import LogRecord
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.identity import Address
    from hoisthook.membership.gossip import Gossip
    from hoisthook.membership.member import Exchange
    from hoisthook.membership.member import Member
    from hoisthook.port.peer_transport import ConfigurationPage


class FakeClock:
    def __init__(self, now: float = 1000.0) -> None:
        self.time = now

    def now(self) -> float:
        return self.time

    def advance(self, seconds: float) -> None:
        self.time += seconds


class FakeLog:
    """The platform log in memory, with outages, lost requests, lost answers and expired records."""

    def __init__(self) -> None:
        self.records_by_stream: dict[str, list[bytes]] = {}
        self.earliest_by_stream: dict[str, int] = {}
        self.outage = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.append_count = 0
        self.before_append = None

    async def append(self, stream: str, payload: bytes) -> int:
        if self.outage:
            raise LogUnavailableError(ResultCode.LOG_UNAVAILABLE, "outage")
        if self.before_append is not None:
            await self.before_append()
        if self.lose_requests:
            self.lose_requests -= 1
            raise AppendUnknownError(ResultCode.APPEND_UNKNOWN, "request lost")
        records = self.records_by_stream.setdefault(stream, [])
        records.append(payload)
        self.append_count += 1
        if self.lose_answers:
            self.lose_answers -= 1
            raise AppendUnknownError(ResultCode.APPEND_UNKNOWN, "answer lost")
        return self.earliest_by_stream.get(stream, 0) + len(records) - 1

    async def read(self, stream: str, offset: int, *, wait: float = 0.0) -> LogPage:
        if self.outage:
            raise LogUnavailableError(ResultCode.LOG_UNAVAILABLE, "outage")
        if wait:
            await asyncio.sleep(0.02)
        records = self.records_by_stream.get(stream, [])
        earliest = self.earliest_by_stream.get(stream, 0)
        first = max(offset, earliest)
        found = tuple(
            LogRecord(first + number, payload)
            for number, payload in enumerate(records[first - earliest :])
        )
        return LogPage(earliest, earliest + len(records), found)

    async def close(self) -> None:
        return

    def expire(self, stream: str, keep: int) -> None:
        records = self.records_by_stream.get(stream, [])
        surplus = max(0, len(records) - keep)
        del records[:surplus]
        self.earliest_by_stream[stream] = self.earliest_by_stream.get(stream, 0) + surplus


class FakePeer:
    """The parts of a node that a peer transport calls."""

    def __init__(self, gossip: Gossip, follower: object = None) -> None:
        self.gossip = gossip
        self.follower = follower


class FakePeers:
    """Peer transport in memory; addresses in ``cut`` are unreachable."""

    def __init__(self, peer_by_address: dict[Address, FakePeer]) -> None:
        self._peer_by_address = peer_by_address
        self.cut: set[Address] = set()
        self.fetched: list[tuple[int, ...]] = []
        self.rewrite = lambda member: member

    async def exchange(self, address: Address, message: Exchange) -> Exchange:
        answer = self._peer(address).gossip.receive(message)
        members = tuple(self.rewrite(member) for member in answer.members)
        changed = {"sender": self.rewrite(answer.sender), "members": members}
        return type(answer)(
            **changed,
            configuration_offset=answer.configuration_offset,
            table_digest=answer.table_digest,
        )

    async def digests(self, address: Address) -> tuple[int, ...]:
        return self._peer(address).gossip.table.digest_by_bucket

    async def members(self, address: Address, buckets: tuple[int, ...]) -> tuple[Member, ...]:
        self.fetched.append(buckets)
        table = self._peer(address).gossip.table
        return tuple(self.rewrite(m) for m in table.members_of(buckets))

    async def configuration(self, address: Address, after: int) -> ConfigurationPage:
        return self._peer(address).follower.page_after(after)

    async def close(self) -> None:
        return

    def _peer(self, address: Address) -> FakePeer:
        if address in self.cut or address not in self._peer_by_address:
            raise ConnectionError(f"{address} is cut off")
        return self._peer_by_address[address]
