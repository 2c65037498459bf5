"""Nodes, backend servers, a caller and faulty relays in one loop, over loopback sockets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hoisthook.adapter.control_app import Announcement
from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.http.message import encode_request_head
from hoisthook.configuration.change import ChangeRecord
from hoisthook.configuration.change import PutService
from hoisthook.configuration.configuration_follower import CHANGES_STREAM
from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import UnreachableError
from hoisthook.identity import format_address
from hoisthook.identity import parse_address
from hoisthook.node.loop_clock import LoopClock
from hoisthook.node.node import Node
from hoisthook.settings.settings_file import parse_settings
from standin.loopback_ports import HOST
from tests.fakes import FakeLog
from tests.fakes import FakePeer
from tests.fakes import FakePeers
from tests.node.backend import Backend
from tests.node.faulty_relay import FaultyRelay

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.membership.member import Member

SERVICE = "svc"
TIMEOUT_MS = 400
CALLER_SECONDS = 1.0

SETTINGS = """
[node]
id = "{name}"
data_centre = "dc"
[listen]
callers = "{host}:0"
peers = "{host}:0"
announcements = "{host}:0"
operators = "{host}:0"
[log]
address = "127.0.0.1:1"
[peers]
interval_seconds = 0.05
"""


class NullLog:
    def routed(self, *_: object) -> None: ...

    def refused(self, *_: object) -> None: ...

    def event(self, name: str, **_: object) -> None: ...

    def flush(self) -> None: ...


@dataclass
class CallerResult:
    """What a caller received: a complete answer, or no status if the exchange broke off."""

    status: int | None
    result: str = ""
    ran: str = ""
    body: bytes = b""
    headers: dict[bytes, bytes] | None = None

    @property
    def code(self) -> int:
        return int(self.result.split()[0]) if self.result else -1


class System:
    """Ingress nodes ``a`` and ``c``, and nodes ``b1`` and ``b2`` with a backend server each."""

    def __init__(self, *, timeout_ms: int = TIMEOUT_MS, spec: ServiceSpec | None = None) -> None:
        self.log = FakeLog()
        self.spec = spec or ServiceSpec(SERVICE, timeout_ms=timeout_ms, measure_per_second=0)
        self.node_by_name: dict[str, Node] = {}
        self.backend_by_name: dict[str, Backend] = {}
        self.relay_by_name: dict[str, FaultyRelay] = {}
        self.pool = ClientPool()
        self.caller_seconds = CALLER_SECONDS if timeout_ms == TIMEOUT_MS else timeout_ms / 1000
        self._peer_by_address: dict[tuple[str, int], FakePeer] = {}
        self._transport_by_name: dict[str, FakePeers] = {}
        self.uptime_ms_by_name: dict[str, int] = {}
        self.crashes: list[asyncio.Future[None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, *, slots: int = 4, backends: tuple[str, ...] = ("b1", "b2")) -> None:
        record = ChangeRecord("setup", 0, PutService(self.spec))
        await self.log.append(CHANGES_STREAM, msgspec.json.encode(record))
        for name in ("a", "c", *backends):
            await self.start_node(name)
        for name in backends:
            backend = Backend(name)
            await backend.start()
            self.backend_by_name[name] = backend
            await self._add_relay(f"{name}-backend", backend.address)
            await self._add_relay(f"{name}-hop", self.node_by_name[name].peers_address)
            self.announce(name, slots)
        await self._add_relay("caller", self.node_by_name["a"].callers_address)
        await self._add_relay("holder", self.node_by_name["a"].peers_address)
        self._rewrite_addresses("a", {name: f"{name}-hop" for name in backends})
        self._rewrite_addresses("c", {"a": "holder"})
        self._tasks.append(asyncio.ensure_future(self._announce_forever(slots)))
        for name in ("a", "c"):
            node = self.node_by_name[name]
            await self.until(lambda n=node: len(n.table.serving(SERVICE)) == len(backends))
            await self.until(lambda n=node: n.state.loaded)
        await self.until(lambda: self._uses_relays("a", backends))

    async def start_node(self, name: str) -> Node:
        transport = FakePeers(self._peer_by_address)
        node = Node(
            parse_settings(SETTINGS.format(name=name, host=HOST)),
            log=self.log,
            peers=transport,
            decisions=NullLog(),
            clock=LoopClock(),
        )
        node.gossip.seeds = [n.peers_address for n in self.node_by_name.values()]
        await node.start()
        peer = FakePeer(node.gossip, node.follower)
        self._peer_by_address[node.peers_address] = peer
        for relay_name in (f"{name}-hop", "holder" if name == "a" else ""):
            if relay_name in self.relay_by_name:
                self._peer_by_address[self.relay_by_name[relay_name].address] = peer
        self._transport_by_name[name] = transport
        self.node_by_name[name] = node
        return node

    def announce(self, name: str, slots: int = 4, *, draining: bool = False) -> None:
        address = format_address(self.relay_by_name[f"{name}-backend"].address)
        uptime = self.uptime_ms_by_name.get(name, 0)
        message = Announcement(name, SERVICE, address, slots, draining=draining, uptime_ms=uptime)
        self.node_by_name[name].announced(message)

    async def crash(self, name: str) -> None:
        node = self.node_by_name.pop(name, None)
        if node is None:
            return
        for address, peer in list(self._peer_by_address.items()):
            if peer.gossip is node.gossip:
                del self._peer_by_address[address]
        await node.abort()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.pool.close()
        for relay in self.relay_by_name.values():
            relay.close()
        for backend in self.backend_by_name.values():
            backend.close()
        for name in list(self.node_by_name):
            await self.crash(name)

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.005)

    def runs(self, name: str) -> int:
        return sum(backend.runs.count(name) for backend in self.backend_by_name.values())

    async def issue_key(self, ingress: str = "a") -> str:
        address = self.node_by_name[ingress].callers_address
        got = await self.call(address, "key", method=b"POST", target=b"/hoisthook/keys")
        return got.body.decode().strip()

    async def call(
        self,
        address: tuple[str, int],
        name: str,
        *,
        method: bytes = b"GET",
        target: bytes = b"/x",
        key: str | None = None,
        body: bytes = b"",
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> CallerResult:
        """Send one request as a caller would."""
        sent = [(b"host", b"x"), (b"hoisthook-service", SERVICE.encode())]
        sent.append((b"x-run", name.encode()))
        if key is not None:
            sent.append((b"idempotency-key", key.encode()))
        sent.extend(headers or [])
        if body or method == b"POST":
            sent.append((b"content-length", b"%d" % len(body)))
        request = encode_request_head(method, target, sent) + body
        connection = None
        try:
            async with asyncio.timeout(self.caller_seconds):
                connection = await self.pool.open(address, self.caller_seconds)
                head = await connection.send(request)
                content = b""
                while data := await connection.body.read():
                    content += data
        except (BrokenExchangeError, UnreachableError, TimeoutError):
            return CallerResult(None)
        finally:
            if connection is not None:
                connection.close()
        named = dict(head.headers)
        result = named.get(b"hoisthook-result", b"").decode()
        ran = named.get(b"hoisthook-ran", b"").decode()
        return CallerResult(head.status, result, ran, content, named)

    async def _add_relay(self, name: str, upstream: tuple[str, int]) -> None:
        relay = FaultyRelay(upstream)
        await relay.start()
        self.relay_by_name[name] = relay
        if upstream in self._peer_by_address:
            # Gossip is exchanged in memory, under the same addresses as the calls.
            self._peer_by_address[relay.address] = self._peer_by_address[upstream]

    def _rewrite_addresses(self, name: str, relay_by_node: dict[str, str]) -> None:
        def rewrite(member: Member) -> Member:
            relay = relay_by_node.get(member.node)
            if relay is None or self.node_by_name.get(member.node) is None:
                return member
            address = format_address(self.relay_by_name[relay].address)
            return msgspec.structs.replace(member, address=address)

        self._transport_by_name[name].rewrite = rewrite
        node = self.node_by_name[name]
        receive = node.gossip.receive
        node.gossip.receive = lambda message: receive(
            msgspec.structs.replace(
                message,
                sender=rewrite(message.sender),
                members=tuple(rewrite(member) for member in message.members),
            )
        )
        for member in list(node.table):
            changed = rewrite(member)
            if changed is not member:
                bumped = msgspec.structs.replace(changed, version=member.version)
                node.table._put(bumped, 0.0)

    def _uses_relays(self, name: str, backends: tuple[str, ...]) -> bool:
        members = self.node_by_name[name].table.serving(SERVICE)
        relays = {self.relay_by_name[f"{each}-hop"].address for each in backends}
        return {parse_address(member.address) for member in members.values()} == relays

    async def _announce_forever(self, slots: int) -> None:
        while True:
            await asyncio.sleep(0.5)
            for name in self.backend_by_name:
                if name in self.node_by_name:
                    local_backend = self.node_by_name[name].local_backend
                    if not local_backend.draining_announced:
                        self.announce(name, slots)
