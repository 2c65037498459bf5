"""Direct synchronisation between nodes: known nodes, configuration, evacuations and crashes."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from hoisthook.exceptions import UnreachableError
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.mesh.peer_message import log_unreadable
from hoisthook.mesh.peer_message import read_message
from hoisthook.mesh.poll_progress import PollProgress
from hoisthook.mesh.sync_messages import SyncReply
from hoisthook.mesh.sync_messages import SyncRequest
from hoisthook.mesh.sync_messages import decode_message
from hoisthook.mesh.sync_messages import encode_message
from hoisthook.mesh.sync_responder import SyncResponder
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
    from hoisthook.traffic.configuration_age import ConfigurationAge
    from hoisthook.traffic.configuration_exchange import ConfigurationExchange
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.evacuations import Evacuations

SYNC_PATH = b"/hoisthook/peers"
CONNECT_SECONDS = 0.2
ANSWER_SECONDS = 0.5
URGENT_ANSWER_SECONDS = 0.15
# Pause between two announcements, so that a new node does not open many connections at once.
ANNOUNCE_GAP_SECONDS = 0.01
# Readers that did not answer receive the announcement again after this time, by when a start or a
# pause of theirs is over.
ANNOUNCE_ROUNDS = 3
ANNOUNCE_ROUND_SECONDS = 1.0
# Interval at which a random peer is polled while the store is unavailable.
POLL_SECONDS = 0.4
# A change reaches all nodes from the store within this time; a node that is still behind polls the
# peer that is ahead. It covers the pause of `ConfigurationWatch` after a change.
STORE_LEAD_SECONDS = 0.6
# Limit on the hold that a request may ask for.
MAX_HOLD_SECONDS = 2.0


class _SyncPosition(NamedTuple):
    """Revisions up to which the updates of another node have been received."""

    source: str = ""
    revision: int = 0
    suspicions: int = 0


class PeerSync:
    """Polls other nodes and answers their polls; polls random peers while the store is unavailable.

    Parameters
    ----------
    directory : PeerDirectory
        Known nodes; nodes learnt from peers are added.
    configuration : ConfigurationHolder
        Configuration in force.
    evacuations : Evacuations
        Evacuated data centres.
    exchange : ConfigurationExchange
        Computes configuration deltas for others, and applies theirs.
    crashes : CrashEvidence
        Work that has crashed backend servers.
    era : StoreEra
        The store's era as known here, sent with each message.
    lease : KeyLease
        Lease on teams' keys, renewed when a peer confirms the configuration.
    age : ConfigurationAge
        Age of the configuration known here, renewed by peers' replies.
    pool : ClientPool
        Connections to other nodes.
    clock : Clock
        Monotonic.
    randomness : Randomness
        Selects peers to poll and spreads polls over time.
    log : EventLog
        Receives events for peers that do not answer and messages that cannot be decoded.

    Attributes
    ----------
    store_away : bool
        Whether the store does not answer this node; set by `ConfigurationWatch`.
    grace_until : float
        End of the time for which this node keeps evacuations that a regressed store may have lost;
        set by `ConfigurationWatch`.
    peer_port : int
        Port at which nodes reach each other, the same on all instances.
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
        age: ConfigurationAge,
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
        self._age = age
        self._sends_crash_reports = False
        self._pool = pool
        self._randomness = randomness
        self._log = log
        self._fetching: asyncio.Task[None] | None = None
        self._process = f"{randomness.getrandbits(64):016x}"
        self._position_by_address: dict[Address, _SyncPosition] = {}
        self._responder = SyncResponder(
            self._process,
            directory,
            configuration,
            evacuations,
            exchange,
            crashes,
            era,
            lease,
            age,
            clock,
        )
        self._clock = clock
        self._changed = asyncio.Event()
        # Registered after the exchange, which has then applied the change before held requests
        # are answered.
        configuration.on_change(lambda _: self._wake())
        evacuations.on_change(self._wake)
        age.on_confirmed(self._wake)
        self._contact_listeners: list[Callable[[Address], None]] = []
        self.store_away = False
        self.grace_until = -math.inf
        self.peer_port = 0

    def on_contact(self, listener: Callable[[Address], None]) -> None:
        """Have ``listener`` called with the address of each node that a message arrives from."""
        self._contact_listeners.append(listener)

    async def run(self) -> None:
        """Poll a random peer periodically while the store is unavailable."""
        while True:
            await asyncio.sleep(POLL_SECONDS * (0.75 + 0.5 * self._randomness.random()))
            others = self._directory.others() if self.store_away else []
            if others:
                view = others[self._randomness.randrange(len(others))]
                self._log.event("peer_asked", peer=view.peer.node, have=self.version)
                await self.poll(view.address, wants_news=view.same_data_centre)

    async def announce_self(self, readers: list[PeerView]) -> None:
        """Announce this node to the readers of all data centres, which the other nodes poll.

        Parameters
        ----------
        readers : list of PeerView
            Nodes to send the announcement to.
        """
        pending = readers
        for _ in range(ANNOUNCE_ROUNDS):
            unanswered = []
            for view in pending:
                if await self.poll(view.address) is None:
                    unanswered.append(view)
                await asyncio.sleep(ANNOUNCE_GAP_SECONDS)
            if not unanswered:
                return
            pending = unanswered
            await asyncio.sleep(ANNOUNCE_ROUND_SECONDS)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force here; -1 before the first."""
        return self._configuration.version

    def note_peer_version(self, address: Address, configuration: int) -> None:
        """Fetch a newer configuration from a peer, unless the store delivers it soon."""
        if configuration <= self.version:
            return
        if self._fetching is None or self._fetching.done():
            loop = asyncio.get_running_loop()
            self._fetching = loop.create_task(self._fetch(address, configuration))

    async def _fetch(self, address: Address, configuration: int) -> None:
        if not self.store_away and self.version >= 0:
            await asyncio.sleep(STORE_LEAD_SECONDS)
        if configuration > self.version:
            self._log.event("configuration_behind", have=self.version, peer_has=configuration)
            await self.poll(address)

    async def broadcast_peers(self) -> None:
        """Send the list of all nodes to the nodes of this data centre without being polled."""
        local_peers = [view for view in self._directory.others() if view.same_data_centre]
        for view in local_peers:
            request = self._request(view.address, wants_news=False)
            peers = self._directory.peers()
            await self._send(view.address, msgspec.structs.replace(request, peers=peers))
            await asyncio.sleep(ANNOUNCE_GAP_SECONDS)

    async def poll(
        self,
        address: Address,
        *,
        wants_news: bool = False,
        hold: float = 0.0,
        progress: PollProgress | None = None,
        is_urgent: bool = False,
    ) -> SyncReply | None:
        """Poll one peer and apply its reply; return None if there is none.

        Parameters
        ----------
        address : Address
            The peer's address.
        wants_news : bool
            Whether to ask for changes to the known nodes; a node that knows no other always does.
        hold : float
            Seconds for which the peer may wait for a change before it answers.
        progress : PollProgress, optional
            Updated as the poll proceeds.
        is_urgent : bool
            Whether to use a new connection, because idle ones may be dead, and to give up soon.
        """
        request = self._request(address, wants_news=wants_news)
        if hold > 0:
            request = msgspec.structs.replace(request, hold=hold)
        return await self._send(address, request, progress, is_urgent=is_urgent)

    async def send_crash_reports(self, address: Address) -> bool:
        """Send all known crash reports of the service; return whether the peer acknowledged."""
        request = self._request(address, wants_news=False)
        reports = self._crashes.reports(self._directory.me.service, self._clock.now())
        request_with_reports = msgspec.structs.replace(request, crashes=reports)
        return await self._send(address, request_with_reports) is not None

    async def _send(
        self,
        address: Address,
        request: SyncRequest,
        progress: PollProgress | None = None,
        *,
        is_urgent: bool = False,
    ) -> SyncReply | None:
        progress = progress or PollProgress()
        sent_at = self._clock.now()
        connect = self._pool.open if is_urgent else self._pool.acquire
        try:
            connection = await connect(address, CONNECT_SECONDS)
        except UnreachableError as error:
            self._log.event("peer_silent", address=address[0], reason=str(error))
            return None
        progress.connected.set()
        exchange_result = await exchange_buffered(
            connection,
            b"POST",
            SYNC_PATH,
            [(b"host", address[0].encode())],
            encode_message(request),
            timeout=request.hold + (URGENT_ANSWER_SECONDS if is_urgent else ANSWER_SECONDS),
            piece_timeout=ANSWER_SECONDS,
            accepts=progress.answer_begins,
        )
        if isinstance(exchange_result, Lost):
            self._log.event("peer_silent", address=address[0], reason=exchange_result.code.name)
            return None
        self._pool.keep(address, connection)
        reply = self._decode_reply(exchange_result[1])
        if reply is not None:
            self._contacted(address)
            await self._apply_reply(reply, address, request)
            self._confirm(reply, sent_at)
        if reply is not None and request.wants_news:
            position = _SyncPosition(reply.source, reply.revision, reply.suspicions)
            self._position_by_address[address] = position
        return reply

    def _contacted(self, address: Address) -> None:
        for listener in self._contact_listeners:
            listener(address)

    def _request(self, address: Address, *, wants_news: bool) -> SyncRequest:
        directory = self._directory
        position = self._position_by_address.get(address, _SyncPosition())
        # Only polls that ask for changed nodes go to readers, which collect these reports.
        reachability_reports = (
            directory.reachability_reports.take_due(self._clock.now()) if wants_news else []
        )
        return SyncRequest(
            directory.me,
            self.version,
            wants_news=wants_news or len(directory) == 1,
            process=self._process,
            source=position.source,
            revision=position.revision,
            digest=directory.digest,
            suspicions=position.suspicions,
            findings=reachability_reports,
            evacuations=self._evacuations.revision,
            crash_digest=self._crashes.digest(directory.me.service),
            crashes=self._crash_reports_to_send() if wants_news else [],
            era=self._era.current,
            age=self._age.seconds(self._clock.now()),
        )

    def _crash_reports_to_send(self) -> list[CrashReport]:
        """Return the known crash reports if the peer polled last did not hold the same."""
        if not self._sends_crash_reports:
            return []
        return self._crashes.reports(self._directory.me.service, self._clock.now())

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a peer's request."""
        request = await read_message(
            exchange, lambda data: decode_message(data, SyncRequest), "question", self._log
        )
        if request is None:
            return
        self._directory.merge([request.sender, *request.peers], "peer")
        self._contacted((exchange.peer[0], self.peer_port))
        if request.peers:
            self._directory.is_complete = True
            self._directory.full_list_received.set()
        self._responder.apply_request(request)
        received_at = self._clock.now()
        if request.hold > 0:
            await self._hold(request, received_at)
        now = self._clock.now()
        reply = self._responder.reply_to(
            request,
            store_away=self.store_away,
            grace=max(0.0, self.grace_until - now),
            held=now - received_at,
        )
        exchange.respond(200, [], encode_message(reply))

    async def _hold(self, request: SyncRequest, received_at: float) -> None:
        """Wait until the reply tells the requester something new, or its hold has passed."""
        try:
            async with asyncio.timeout(min(request.hold, MAX_HOLD_SECONDS)):
                while not self._responder.has_changes_for(request, received_at):
                    await self._changed.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _decode_reply(self, data: bytes) -> SyncReply | None:
        try:
            return decode_message(data, SyncReply)
        except msgspec.DecodeError as error:
            log_unreadable(self._log, "reply", str(error))
            return None

    async def _apply_reply(self, reply: SyncReply, address: Address, request: SyncRequest) -> None:
        self._directory.merge(reply.peers, "peer")
        self._era.update(reply.era)
        now = self._clock.now()
        self._responder.apply_suspicions(reply)
        self._crashes.merge(reply.crashes, now)
        own_digest = self._crashes.digest(self._directory.me.service)
        self._sends_crash_reports = own_digest not in (0, reply.crash_digest)
        self._evacuations.offer(reply.evacuations, reply.evacuated, ConfigurationSource.PEER)
        if reply.configuration is not None and not self._exchange.take(reply.configuration):
            if request.configuration == NO_VERSION:
                return
            # The delta does not apply to the configuration held here: request all of it.
            full_request = msgspec.structs.replace(request, configuration=NO_VERSION, hold=0.0)
            await self._send(address, full_request)

    def _confirm(self, reply: SyncReply, sent_at: float) -> None:
        """Renew the age, and the lease on keys if the peer's configuration is in force here."""
        if reply.age is not None:
            self._age.confirmed(sent_at + reply.held - reply.age)
        elif not reply.store_away:
            # An older node, which does not report its age.
            self._age.confirmed(self._clock.now())
        delta = reply.configuration
        if reply.confirmed is not None and (delta is None or delta.version <= self.version):
            self._lease.confirmed(sent_at - reply.confirmed)
