"""Spread of the configuration over many nodes on virtual time, with silent connections and freezes.

The nodes' own code runs unchanged; the network, the store and the clock are replaced.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from hoisthook_platform.configuration_record import KEY
from hoisthook_platform.configuration_record import TOPIC
from hoisthook_platform.configuration_record import ConfigurationReader
from hoisthook_platform.log_store import LogStore

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.http.message import AnswerHead
from hoisthook.adapter.http.message import RequestHead
from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.identity import parse_address
from hoisthook.membership.poll_tree import polling_order
from hoisthook.membership.store_era import StoreEra
from hoisthook.mesh.configuration_watch import ConfigurationWatch
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.peer_directory import PeerDirectory
from hoisthook.mesh.peer_sync import PeerSync
from hoisthook.mesh.reader_exchange import ReaderExchange
from hoisthook.mesh.store_readers import StoreReaders
from hoisthook.node.loop_clock import LoopClock
from hoisthook.retry.crash_evidence import CrashEvidence
from hoisthook.teams.key_lease import KeyLease
from hoisthook.traffic.configuration_age import ConfigurationAge
from hoisthook.traffic.configuration_exchange import ConfigurationExchange
from hoisthook.traffic.configuration_holder import ConfigurationHolder
from hoisthook.traffic.evacuations import Evacuations
from standin.mesh_store import StoreStandin
from standin.mesh_system import ListLog
from standin.published_configuration import RouteOptions
from standin.published_configuration import configuration

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from hoisthook.adapter.http.byte_budget import ByteBudget
    from hoisthook.adapter.http.message import Header
    from hoisthook.identity import Address
    from hoisthook.traffic.traffic_configuration import TrafficConfiguration

    Handler = Callable[["FleetExchange"], Awaitable[None]]

STORE_ADDRESS: Address = ("store", 1)
PEER_PORT = 8300
LATENCY_SECONDS = 0.001
# The platform's bound: a change is in force this long after its acknowledgement.
APPLY_SECONDS = 2.0
# Time after which a lost packet is sent again; doubles with each loss in a row.
RETRANSMISSION_SECONDS = 0.2


class FleetBody:
    """A complete message body."""

    def __init__(self, data: bytes = b"") -> None:
        self._data = data
        self.complete = True
        self.buffered = False

    def take_buffered(self) -> bytes:
        """Return the body, as `BodyStream.take_buffered` does."""
        return self._data

    async def read_all(self) -> bytes:
        """Return the body, as `BodyStream.read_all` does."""
        return self._data


class FleetExchange:
    """A request as its receiver sees it."""

    def __init__(self, source: str, head: RequestHead, body: bytes) -> None:
        self.peer = (source, 0)
        self.head = head
        self.body = FleetBody(body)
        self.answer: tuple[AnswerHead, bytes] | None = None

    def respond(self, status: int, headers: list[Header], body: bytes = b"") -> None:
        """Keep the answer for the sender."""
        self.answer = (AnswerHead(status, headers), body)


class FleetNetwork:
    """Delivers requests to their receivers.

    Attributes
    ----------
    handler_by_address : dict
        Receivers of requests.
    loss_by_host : dict
        Probability with which a packet to or from a host is lost and sent again.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness
        self._frozen_until: dict[str, float] = {}
        self._generation = 0
        self._deliveries: set[asyncio.Task[None]] = set()
        self.handler_by_address: dict[Address, Handler] = {}
        self.loss_by_host: dict[str, float] = {}

    @property
    def generation(self) -> int:
        """Return the generation of connections that are opened now."""
        return self._generation

    def silence_connections(self) -> None:
        """Have all open connections deliver nothing any more; new ones work."""
        self._generation += 1

    def freeze(self, host: str, seconds: float) -> None:
        """Have a host neither send nor receive for some seconds."""
        self._frozen_until[host] = asyncio.get_running_loop().time() + seconds

    def start_delivery(self, delivery: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Run the delivery of a request; the task is cancelled with the network at the latest."""
        task = asyncio.get_running_loop().create_task(delivery)
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)
        return task

    async def close(self) -> None:
        """Cancel all deliveries."""
        deliveries = list(self._deliveries)
        for task in deliveries:
            task.cancel()
        await asyncio.gather(*deliveries, return_exceptions=True)

    async def pass_packet(self, source: str, target: str) -> None:
        """Wait until a packet has arrived and been read."""
        await self._thawed(source)
        delay = LATENCY_SECONDS
        loss = max(self.loss_by_host.get(source, 0.0), self.loss_by_host.get(target, 0.0))
        retransmission = RETRANSMISSION_SECONDS
        while self._randomness.random() < loss:
            delay += retransmission
            retransmission *= 2
        await asyncio.sleep(delay)
        await self._thawed(target)

    async def _thawed(self, host: str) -> None:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, self._frozen_until.get(host, 0.0) - now))


class FleetConnection:
    """A connection of a node; used like `hoisthook.adapter.http.client_connection`."""

    def __init__(
        self, network: FleetNetwork, source: str, address: Address, budget: ByteBudget
    ) -> None:
        self.budget = budget
        self._network = network
        self._generation = network.generation
        self._source = source
        self._address = address
        self._delivery: asyncio.Task[None] | None = None
        self.body = FleetBody()
        self.closed = False
        self.reusable = True
        self.exchanges = 0
        self.idle_since = 0.0

    def send(
        self, *parts: bytes, bodyless_answer: bool = False, accepts: object = None
    ) -> asyncio.Future[AnswerHead]:
        """Send a request and return the head of its answer once that has arrived."""
        self.exchanges += 1
        head: asyncio.Future[AnswerHead] = asyncio.get_running_loop().create_future()
        self._delivery = self._network.start_delivery(self._deliver(b"".join(parts), head))
        return head

    def close(self) -> None:
        """Stop waiting for an answer."""
        self.closed = True
        if self._delivery is not None:
            self._delivery.cancel()

    async def _deliver(self, data: bytes, head: asyncio.Future[AnswerHead]) -> None:
        lines, _, body = data.partition(b"\r\n\r\n")
        method, target, _ = lines.split(b"\r\n", 1)[0].split(b" ")
        exchange = FleetExchange(self._source, RequestHead(method, target, []), body)
        await self._pass(self._source, self._address[0])
        await self._network.handler_by_address[self._address](exchange)
        await self._pass(self._address[0], self._source)
        if exchange.answer is not None and not head.done():
            answer_head, answer_body = exchange.answer
            self.body = FleetBody(answer_body)
            head.set_result(answer_head)

    async def _pass(self, source: str, target: str) -> None:
        await self._network.pass_packet(source, target)
        if self._generation != self._network.generation:
            await asyncio.Event().wait()


class FleetPool(ClientPool):
    """Connections of one node."""

    def __init__(self, network: FleetNetwork, host: str) -> None:
        super().__init__()
        self._network = network
        self._host = host

    async def open(self, address: Address, timeout: float) -> FleetConnection:  # type: ignore[override]
        """Open a connection; a frozen host accepts it all the same."""
        await asyncio.sleep(2 * LATENCY_SECONDS)
        return FleetConnection(self._network, self._host, address, self._budget)


class FleetNode:
    """The parts of a node that spread the configuration.

    Attributes
    ----------
    taken_at : dict
        When each version came into force here, by version.
    """

    def __init__(
        self,
        peer: Peer,
        network: FleetNetwork,
        readers: int,
        apply_seconds: float,
        seed: int,
        log: ListLog,
    ) -> None:
        clock = LoopClock()
        randomness = random.Random(seed)
        pool = FleetPool(network, peer.node)
        self.peer = peer
        self.taken_at: dict[int, float] = {}
        self.holder = ConfigurationHolder(log)
        self.holder.on_change(self._taken)
        self.directory = PeerDirectory(peer, log)
        self.age = ConfigurationAge()
        evacuations = Evacuations(log)
        era = StoreEra(log)
        lease = KeyLease(0.0)
        decode = ConfigurationReader(log)
        self.sync = PeerSync(
            self.directory,
            self.holder,
            evacuations,
            ConfigurationExchange(self.holder, decode, log),
            CrashEvidence(log),
            era,
            lease,
            self.age,
            pool,
            clock,
            randomness,
            log,
        )
        self.sync.peer_port = PEER_PORT
        self.readers = StoreReaders(self.directory, clock, readers)
        self._watch = ConfigurationWatch(
            TOPIC,
            KEY,
            store=LogStore(STORE_ADDRESS, pool),
            decode=decode,
            holder=self.holder,
            evacuations=evacuations,
            evacuation_prefix="",
            era=era,
            lease=lease,
            age=self.age,
            sync=self.sync,
            readers=self.readers,
            peers_known=self.directory.peers_known,
            apply_seconds=apply_seconds,
            clock=clock,
            randomness=randomness,
            log=log,
        )
        self._reader_exchange = ReaderExchange(self.readers, self.sync, randomness)
        network.handler_by_address[parse_address(peer.address)] = self.sync.answer  # type: ignore[assignment]

    def start(self) -> list[asyncio.Task[None]]:
        """Start the background tasks."""
        loop = asyncio.get_running_loop()
        runs = (self._watch.run, self.sync.run, self._reader_exchange.run)
        return [loop.create_task(run()) for run in runs]

    def _taken(self, taken: TrafficConfiguration) -> None:
        self.taken_at[taken.version] = asyncio.get_running_loop().time()


class ConfigurationFleet:
    """Nodes in data centres of equal size, and the store.

    Parameters
    ----------
    data_centres : int
        Number of data centres.
    nodes : int
        Number of nodes in each.
    readers : int
        Nodes of each that read the store.
    seed : int
        Seed of all randomness.
    """

    def __init__(self, data_centres: int, nodes: int, readers: int, seed: int) -> None:
        self._randomness = random.Random(seed)
        self.network = FleetNetwork(self._randomness)
        self.store = StoreStandin()
        self.log = ListLog()
        self.published_at: dict[int, float] = {}
        peers = [
            Peer(
                node=NodeId(f"node-{centre}-{number}"),
                address=f"node-{centre}-{number}:{PEER_PORT}",
                service=ServiceName("shop"),
                data_centre=DataCentre(f"centre-{centre}"),
            )
            for centre in range(data_centres)
            for number in range(nodes)
        ]
        self.nodes = [
            FleetNode(
                peer,
                self.network,
                readers,
                APPLY_SECONDS,
                self._randomness.getrandbits(32),
                self.log,
            )
            for peer in peers
        ]
        for node in self.nodes:
            node.directory.merge(peers, "start")
            node.directory.is_complete = True
        self.network.handler_by_address[STORE_ADDRESS] = self.store.serve  # type: ignore[assignment]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Publish version 1, start all nodes and wait until it is in force on all of them."""
        self.publish(1)
        for node in self.nodes:
            self._tasks.extend(node.start())
            await asyncio.sleep(0.3 * self._randomness.random() / len(self.nodes))
        await self.until_in_force(1)

    async def close(self) -> None:
        """Stop all nodes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.network.close()

    def publish(self, version: int) -> None:
        """Publish a configuration; the store acknowledges it at once."""
        self.store.put(TOPIC, KEY, configuration(version, RouteOptions("shop")))
        self.published_at[version] = asyncio.get_running_loop().time()

    def nodes_by_data_centre(self) -> dict[str, list[FleetNode]]:
        """Return the nodes of each data centre in the order of the poll tree, readers first."""
        by_name = {node.peer.node: node for node in self.nodes}
        ordered: dict[str, list[FleetNode]] = {}
        for peer in polling_order(node.peer for node in self.nodes):
            ordered.setdefault(peer.data_centre, []).append(by_name[peer.node])
        return ordered

    async def until_in_force(self, version: int, nodes: Iterable[FleetNode] = ()) -> None:
        """Wait until a version or a newer one is in force on some nodes, by default on all."""
        awaited = list(nodes) or self.nodes
        while any(node.holder.version < version for node in awaited):
            await asyncio.sleep(0.005)

    def delay(self, version: int, nodes: Iterable[FleetNode]) -> float:
        """Return the longest time from the publication to a node of those given, in seconds."""
        return max(node.taken_at[version] for node in nodes) - self.published_at[version]
