"""What nodes tell each other directly: who is there, and the newest configuration."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import msgspec

from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import UnreachableError
from hoisthook.membership.suspicion import SuspicionTable
from hoisthook.mesh.sync_messages import SyncQuestion
from hoisthook.mesh.sync_messages import SyncReply
from hoisthook.mesh.whole_exchange import exchange_whole
from hoisthook.node.call import Lost
from hoisthook.traffic.configuration_holder import ConfigurationSource

if TYPE_CHECKING:
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import Address
    from hoisthook.identity import NodeId
    from hoisthook.mesh.peer import Peer
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.event_log import EventLog
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.traffic_configuration import TrafficConfiguration

SYNC_PATH = b"/hoisthook/peers"
CONNECT_SECONDS = 0.2
ANSWER_SECONDS = 0.5
# Between two introductions, so that a new node does not open many connections at once.
INTRODUCTION_GAP_SECONDS = 0.01
# Readers that did not answer are told again after this time, a start or a pause being over then.
INTRODUCTION_ROUNDS = 3
INTRODUCTION_ROUND_SECONDS = 1.0
# How often a peer is asked while the store does not answer.
ASK_SECONDS = 0.4
# A change reaches all nodes from the store within this; a node that is still behind asks the
# peer that is ahead. It covers the pause of `ConfigurationWatch` after a change.
STORE_LEAD_SECONDS = 0.6


class ConfigurationDecoder(Protocol):
    """Reads a configuration as operators publish it."""

    def __call__(self, raw: bytes) -> TrafficConfiguration | None:
        """Return the configuration, or None if it cannot be read."""


class _Had(NamedTuple):
    """What a node has had of another's news."""

    source: str = ""
    revision: int = 0
    suspicions: int = 0


class PeerSync:
    """Asks other nodes, answers them, and goes on asking while the store is away.

    Parameters
    ----------
    directory : PeerDirectory
        Whom it knows.
    configuration : ConfigurationHolder
        What it has.
    decode : ConfigurationDecoder
        Reads a configuration that a peer hands on.
    pool : ClientPool
        Connections to other nodes.
    clock : Clock
        Monotonic.
    randomness : Randomness
        Chooses whom to ask.
    log : EventLog
        Gets a line for what cannot be read.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        configuration: ConfigurationHolder,
        decode: ConfigurationDecoder,
        pool: ClientPool,
        clock: Clock,
        randomness: Randomness,
        log: EventLog,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._decode = decode
        self._pool = pool
        self._randomness = randomness
        self._log = log
        self._asking: asyncio.Task[None] | None = None
        self._process = f"{randomness.getrandbits(64):016x}"
        self._had_by_address: dict[Address, _Had] = {}
        self._suspicions = SuspicionTable()
        self._process_by_asker: dict[NodeId, str] = {}
        self._clock = clock
        self.store_away = False
        self.peer_port = 0

    async def run(self) -> None:
        """Ask a random peer now and then for as long as the store is away."""
        while True:
            await asyncio.sleep(ASK_SECONDS * (0.75 + 0.5 * self._randomness.random()))
            others = self._directory.others() if self.store_away else []
            if others:
                view = others[self._randomness.randrange(len(others))]
                self._log.event("peer_asked", peer=view.peer.node, have=self.version)
                await self.ask(view.address, wants_news=view.same_data_centre)

    async def introduce(self, readers: list[PeerView]) -> None:
        """Tell the readers of all data centres about this node; the others ask them.

        Parameters
        ----------
        readers : list of PeerView
            To be told.
        """
        left = readers
        for _ in range(INTRODUCTION_ROUNDS):
            silent = []
            for view in left:
                if await self.ask(view.address) is None:
                    silent.append(view)
                await asyncio.sleep(INTRODUCTION_GAP_SECONDS)
            if not silent:
                return
            left = silent
            await asyncio.sleep(INTRODUCTION_ROUND_SECONDS)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force here; -1 before the first."""
        return self._configuration.version

    def heard(self, address: Address, configuration: int) -> None:
        """Note which configuration a peer has; fetch it if the store does not bring it soon."""
        if configuration <= self.version:
            return
        if self._asking is None or self._asking.done():
            loop = asyncio.get_running_loop()
            self._asking = loop.create_task(self._fetch(address, configuration))

    async def _fetch(self, address: Address, configuration: int) -> None:
        if not self.store_away and self.version >= 0:
            await asyncio.sleep(STORE_LEAD_SECONDS)
        if configuration > self.version:
            self._log.event("configuration_behind", have=self.version, peer_has=configuration)
            await self.ask(address)

    async def tell_all(self) -> None:
        """Tell the nodes of this data centre of all nodes unasked."""
        near = [view for view in self._directory.others() if view.same_data_centre]
        for view in near:
            question = self._question(view.address, wants_news=False)
            peers = self._directory.peers()
            await self._send(view.address, msgspec.structs.replace(question, peers=peers))
            await asyncio.sleep(INTRODUCTION_GAP_SECONDS)

    async def ask(self, address: Address, *, wants_news: bool = False) -> SyncReply | None:
        """Ask one peer and take in its answer; None if there is none.

        Parameters
        ----------
        address : Address
            The peer's.
        wants_news : bool
            Whether to ask which nodes there are; a node that knows nobody always does.
        """
        return await self._send(address, self._question(address, wants_news=wants_news))

    async def _send(self, address: Address, question: SyncQuestion) -> SyncReply | None:
        try:
            connection = await self._pool.acquire(address, CONNECT_SECONDS)
        except UnreachableError as error:
            self._log.event("peer_silent", address=address[0], reason=str(error))
            return None
        answered = await exchange_whole(
            connection,
            b"POST",
            SYNC_PATH,
            [(b"host", address[0].encode())],
            msgspec.json.encode(question),
            timeout=ANSWER_SECONDS,
        )
        if isinstance(answered, Lost):
            self._log.event("peer_silent", address=address[0], reason=answered.code.name)
            return None
        self._pool.keep(address, connection)
        reply = self._take(answered[1])
        if reply is not None and question.wants_news:
            had = _Had(reply.source, reply.revision, reply.suspicions)
            self._had_by_address[address] = had
        return reply

    def _question(self, address: Address, *, wants_news: bool) -> SyncQuestion:
        directory = self._directory
        had = self._had_by_address.get(address, _Had())
        # Only who asks for news is asking a reader, which collects findings.
        findings = directory.findings.tell(self._clock.now()) if wants_news else []
        return SyncQuestion(
            directory.me,
            self.version,
            wants_news=wants_news or len(directory) == 1,
            process=self._process,
            source=had.source,
            revision=had.revision,
            digest=directory.digest,
            suspicions=had.suspicions,
            findings=findings,
        )

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a peer's question."""
        try:
            question = msgspec.json.decode(await exchange.body.read_all(), type=SyncQuestion)
        except BrokenExchangeError as error:
            self._log.event("peer_question_unreadable", reason=str(error))
            exchange.abort()
            return
        except msgspec.DecodeError as error:
            self._log.event("peer_question_unreadable", reason=str(error))
            exchange.respond(400, [])
            return
        self._directory.merge([question.sender, *question.peers], "peer")
        if question.peers:
            self._directory.told.set()
        current = self._configuration.current
        raw = b""
        if current is not None and current.version > question.configuration:
            raw = current.raw
        suspected, cleared = self._suspicions_for(question)
        reply = SyncReply(
            self._news_for(question),
            self._process,
            self._directory.revision,
            raw,
            self.store_away,
            self._suspicions.revision,
            suspected,
            cleared,
        )
        exchange.respond(200, [], msgspec.json.encode(reply))

    def _suspicions_for(self, question: SyncQuestion) -> tuple[list[NodeId], list[NodeId]]:
        """Take in the asker's findings and this node's own; return what is new to the asker."""
        table = self._suspicions
        now = self._clock.now()
        before = table.revision
        asker = question.sender.node
        if self._process_by_asker.get(asker) != question.process:
            # It has just started, so it takes connections again.
            self._process_by_asker[asker] = question.process
            table.reached(asker, now)
        table.report(asker, question.findings, now)
        table.report(self._directory.me.node, self._directory.findings.current(now), now)
        suspected, cleared = table.since(before)
        self._directory.others_suspect(suspected, now)
        self._directory.others_reached(cleared)
        if not question.wants_news:
            return [], []
        return table.since(question.suspicions if question.source == self._process else 0)

    def _news_for(self, question: SyncQuestion) -> list[Peer]:
        directory = self._directory
        if not question.wants_news or question.digest == directory.digest:
            return []
        if question.source == self._process:
            return directory.peers_since(question.revision)
        return directory.peers()

    def _take(self, data: bytes) -> SyncReply | None:
        try:
            reply = msgspec.json.decode(data, type=SyncReply)
        except msgspec.DecodeError as error:
            self._log.event("peer_reply_unreadable", reason=str(error))
            return None
        self._directory.merge(reply.peers, "peer")
        self._directory.others_suspect(reply.suspected, self._clock.now())
        self._directory.others_reached(reply.cleared)
        # Where this node is a reader too, its own table knows by it which findings are old.
        for node in reply.cleared:
            self._suspicions.reached(node, self._clock.now())
        if reply.configuration:
            configuration = self._decode(reply.configuration)
            if configuration is not None:
                self._configuration.offer(configuration, ConfigurationSource.PEER)
        return reply
