"""What nodes tell each other directly: who is there, and the newest configuration."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from hoisthook.exceptions import UnreachableError
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.mesh.peer_message import log_unreadable
from hoisthook.mesh.peer_message import read_message
from hoisthook.mesh.sync_answers import SyncAnswers
from hoisthook.mesh.sync_messages import SyncQuestion
from hoisthook.mesh.sync_messages import SyncReply
from hoisthook.mesh.sync_messages import decode_message
from hoisthook.mesh.sync_messages import encode_message
from hoisthook.node.call import Lost
from hoisthook.traffic.configuration_holder import ConfigurationSource
from hoisthook.traffic.configuration_parts import NO_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import Address
    from hoisthook.membership.store_era import StoreEra
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.event_log import EventLog
    from hoisthook.retry.crash_evidence import CrashEvidence
    from hoisthook.retry.crash_evidence import CrashReport
    from hoisthook.teams.key_lease import KeyLease
    from hoisthook.traffic.configuration_exchange import ConfigurationExchange
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.evacuations import Evacuations

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
# How long a question is held at most, whatever its asker says.
MAX_HOLD_SECONDS = 2.0


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
    evacuations : Evacuations
        Which data centres are evacuated.
    exchange : ConfigurationExchange
        Tells what others lack of it, and takes in what they tell.
    crashes : CrashEvidence
        Which work has ended backend servers.
    era : StoreEra
        The store's; told on.
    lease : KeyLease
        Renewed by what peers confirm.
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
        evacuations: Evacuations,
        exchange: ConfigurationExchange,
        crashes: CrashEvidence,
        era: StoreEra,
        lease: KeyLease,
        pool: ClientPool,
        clock: Clock,
        randomness: Randomness,
        log: EventLog,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._evacuations = evacuations
        self._exchange = exchange
        self._crashes = crashes
        self._era = era
        self._lease = lease
        self._tells_crashes = False
        self._pool = pool
        self._randomness = randomness
        self._log = log
        self._asking: asyncio.Task[None] | None = None
        self._process = f"{randomness.getrandbits(64):016x}"
        self._had_by_address: dict[Address, _Had] = {}
        self._answers = SyncAnswers(
            self._process,
            directory,
            configuration,
            evacuations,
            exchange,
            crashes,
            era,
            lease,
            clock,
        )
        self._clock = clock
        self._changed = asyncio.Event()
        # After the exchange has taken the change in, so that who waits is told of it.
        configuration.on_change(lambda _: self._wake())
        evacuations.on_change(self._wake)
        self._contact_listeners: list[Callable[[Address], None]] = []
        self.store_away = False
        self.peer_port = 0

    def on_contact(self, listener: Callable[[Address], None]) -> None:
        """Have ``listener`` called with the address of each node that is heard from."""
        self._contact_listeners.append(listener)

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

    async def ask(
        self,
        address: Address,
        *,
        wants_news: bool = False,
        hold: float = 0.0,
        connected: asyncio.Event | None = None,
    ) -> SyncReply | None:
        """Ask one peer and take in its answer; None if there is none.

        Parameters
        ----------
        address : Address
            The peer's.
        wants_news : bool
            Whether to ask which nodes there are; a node that knows nobody always does.
        hold : float
            For how many seconds the peer may wait for a change before it answers.
        connected : asyncio.Event, optional
            Set once the peer has taken the connection.
        """
        question = self._question(address, wants_news=wants_news)
        if hold > 0:
            question = msgspec.structs.replace(question, hold=hold)
        return await self._send(address, question, connected)

    async def tell_crashes(self, address: Address) -> bool:
        """Tell a peer what is known of crashes; return whether it has taken it in."""
        question = self._question(address, wants_news=False)
        reports = self._crashes.reports(self._directory.me.service, self._clock.now())
        told = msgspec.structs.replace(question, crashes=reports)
        return await self._send(address, told) is not None

    async def _send(
        self, address: Address, question: SyncQuestion, connected: asyncio.Event | None = None
    ) -> SyncReply | None:
        asked_at = self._clock.now()
        try:
            connection = await self._pool.acquire(address, CONNECT_SECONDS)
        except UnreachableError as error:
            self._log.event("peer_silent", address=address[0], reason=str(error))
            return None
        if connected is not None:
            connected.set()
        answered = await exchange_buffered(
            connection,
            b"POST",
            SYNC_PATH,
            [(b"host", address[0].encode())],
            encode_message(question),
            timeout=question.hold + ANSWER_SECONDS,
            piece_timeout=ANSWER_SECONDS,
        )
        if isinstance(answered, Lost):
            self._log.event("peer_silent", address=address[0], reason=answered.code.name)
            return None
        self._pool.keep(address, connection)
        reply = self._read(answered[1])
        if reply is not None:
            self._contacted(address)
            await self._take(reply, address, question)
            self._confirm(reply, asked_at)
        if reply is not None and question.wants_news:
            had = _Had(reply.source, reply.revision, reply.suspicions)
            self._had_by_address[address] = had
        return reply

    def _contacted(self, address: Address) -> None:
        for listener in self._contact_listeners:
            listener(address)

    def _question(self, address: Address, *, wants_news: bool) -> SyncQuestion:
        directory = self._directory
        had = self._had_by_address.get(address, _Had())
        # Only who asks for news is asking a reader, which collects findings.
        findings = directory.findings.take_due(self._clock.now()) if wants_news else []
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
            evacuations=self._evacuations.revision,
            crash_digest=self._crashes.digest(directory.me.service),
            crashes=self._crashes_to_tell() if wants_news else [],
            era=self._era.current,
        )

    def _crashes_to_tell(self) -> list[CrashReport]:
        """Return what is known of crashes where the last one asked did not know the same."""
        if not self._tells_crashes:
            return []
        return self._crashes.reports(self._directory.me.service, self._clock.now())

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a peer's question."""
        question = await read_message(
            exchange, lambda data: decode_message(data, SyncQuestion), "question", self._log
        )
        if question is None:
            return
        self._directory.merge([question.sender, *question.peers], "peer")
        self._contacted((exchange.peer[0], self.peer_port))
        if question.peers:
            self._directory.is_complete = True
            self._directory.told.set()
        self._answers.take(question)
        if question.hold > 0 and not self._answers.has_changes_for(question):
            await self._wait_for_change(min(question.hold, MAX_HOLD_SECONDS))
        reply = self._answers.reply_to(question, store_away=self.store_away)
        exchange.respond(200, [], encode_message(reply))

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _read(self, data: bytes) -> SyncReply | None:
        try:
            return decode_message(data, SyncReply)
        except msgspec.DecodeError as error:
            log_unreadable(self._log, "reply", str(error))
            return None

    async def _take(self, reply: SyncReply, address: Address, question: SyncQuestion) -> None:
        self._directory.merge(reply.peers, "peer")
        self._era.heard(reply.era)
        now = self._clock.now()
        self._answers.take_suspicions(reply)
        self._crashes.merge(reply.crashes, now)
        known = self._crashes.digest(self._directory.me.service)
        self._tells_crashes = known not in (0, reply.crash_digest)
        self._evacuations.offer(reply.evacuations, reply.evacuated, ConfigurationSource.PEER)
        if reply.configuration is not None and not self._exchange.take(reply.configuration):
            if question.configuration == NO_VERSION:
                return
            # The difference does not fit what is known here.
            whole = msgspec.structs.replace(question, configuration=NO_VERSION, hold=0.0)
            await self._send(address, whole)

    def _confirm(self, reply: SyncReply, asked_at: float) -> None:
        """Renew the lease on keys where all that the peer knows is in force here."""
        delta = reply.configuration
        if reply.confirmed is not None and (delta is None or delta.version <= self.version):
            self._lease.confirmed(asked_at - reply.confirmed)
