"""Registration of nodes in the platform's store: this node's record and those of the others."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from hoisthook.background_tasks import BackgroundTasks
from hoisthook.exceptions import StoreUnavailableError
from hoisthook.identity import InstanceId
from hoisthook.mesh.peer import Peer
from hoisthook.port.record_store import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from hoisthook.membership.store_era import StoreEra
    from hoisthook.mesh.backend_link import BackendLink
    from hoisthook.mesh.crash_records import CrashRecords
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.mesh.store_readers import StoreReaders
    from hoisthook.mesh.withdrawal_records import WithdrawalRecords
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordPage
    from hoisthook.port.record_store import RecordStore

# When all nodes start together, the list is read this long after the node's own registration, by
# when the others have registered: they start within 0.3 s of each other, and a start takes up to a
# second on a slow core.
EARLY_READ_SECONDS = 1.6
# A node that takes longer than this to register in a common start announces itself like a new node.
LATE_START_SECONDS = 1.2
# In a common start, one in this many nodes reads the list and sends it to its data centre; the
# others wait for it. Of 195 nodes in five data centres 13 read the list. Once in 18 starts a data
# centre has no such node, and its nodes read the list themselves.
NODES_PER_EARLY_READER = 16
# A store that has regressed to an older copy lacks the writes of the last seconds before. Only a
# registration of at least this age is certain to be in the copy.
COPY_AGE_SECONDS = 60.0
# Registrations that are written again are spread over at least this time, and over more if there
# are so many nodes that they would exceed the rate.
REREGISTRATION_SECONDS = 2.0
REREGISTRATIONS_PER_SECOND = 200.0
# Time that a node in a common start waits for the list beyond EARLY_READ_SECONDS, which is enough
# for a reader to send it to 39 nodes.
PEER_LIST_TIMEOUT_SECONDS = 2.5
# Readers read the list again periodically: on average one read per interval over all readers
# together, but each reader at most once per MIN_READ_SECONDS. New nodes become known by their
# announcements; these reads find the nodes whose announcement was missed.
READ_SECONDS_PER_READER = 5.0
MIN_READ_SECONDS = 15.0
FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.0


class NodeRecord(Peer, frozen=True, omit_defaults=True):
    """A node's registration with what only its own next process needs.

    Attributes
    ----------
    backend_instance : InstanceId or None
        Incarnation of the local backend server that is known to belong to the node's service; None
        if there was none.
    """

    backend_instance: InstanceId | None = None


class Registration:
    """Registers this node and reads the registrations of the others.

    A registration is written once, and again after an incarnation of the backend server has been
    identified: the next process of the node then knows the service of a server that goes on running
    before that announces itself again.

    A node whose record is already in the store writes nothing. A new node announces itself to the
    readers of all data centres, see `hoisthook.mesh.peer_sync.PeerSync.announce_self`, and the
    other nodes learn of it by polling these. Readers also read the list again periodically, which
    finds nodes whose announcement was missed.

    Parameters
    ----------
    topic : str
        Topic of the nodes' records, which retains the newest record of each key.
    directory : PeerDirectory
        Receives the registered nodes.
    store : RecordStore
        The platform's store.
    sync : PeerSync
        Announces a new node.
    readers : StoreReaders
        Selects the nodes that receive the announcement and that read the list again.
    crash_records : CrashRecords
        Receives the records of refused work.
    withdrawals : WithdrawalRecords
        Receives the records of withdrawn backend servers.
    local_backend : BackendLink
        Source and receiver of the identified incarnation.
    era : StoreEra
        Reports when the store has regressed to an older copy.
    clock : Clock
        Monotonic.
    randomness : Randomness
        Spreads the calls of many nodes over time.
    log : EventLog
        Receives events for registrations, delays and records that cannot be decoded.
    first_start : bool
        Whether all nodes start together for the first time, so that none announces itself.
    """

    def __init__(
        self,
        topic: str,
        directory: PeerDirectory,
        store: RecordStore,
        sync: PeerSync,
        readers: StoreReaders,
        crash_records: CrashRecords,
        withdrawals: WithdrawalRecords,
        local_backend: BackendLink,
        era: StoreEra,
        clock: Clock,
        randomness: Randomness,
        log: EventLog,
        *,
        first_start: bool,
    ) -> None:
        self._topic = topic
        self._directory = directory
        self._store = store
        self._sync = sync
        self._readers = readers
        self._crash_records = crash_records
        self._withdrawals = withdrawals
        self._local_backend = local_backend
        self._clock = clock
        self._randomness = randomness
        self._log = log
        self._first_start = first_start
        self._record_offset = 0
        self._registered_at = -math.inf
        self._recorded_instance: InstanceId | None = None
        self._is_recording = False
        self._is_registered = False
        self._reregistration = BackgroundTasks()
        era.on_change(self._store_regressed)
        local_backend.observed_backend.on_identified(self._record_instance)
        self._backoff = FIRST_BACKOFF_SECONDS

    async def run(self) -> None:
        """Register, then read the list periodically until cancelled."""
        if self._first_start:
            await self._register_with_all()
        else:
            await self._retry_until_done(self._register)
        while True:
            all_readers = len(self._readers.readers_of_all_data_centres())
            seconds = max(MIN_READ_SECONDS, READ_SECONDS_PER_READER * all_readers)
            await asyncio.sleep(seconds * (0.75 + 0.5 * self._randomness.random()))
            if not self._readers.poll_targets():
                await self._retry_until_done(self._read)

    def close(self) -> None:
        """Cancel a repeated registration in progress."""
        self._reregistration.close()

    def _store_regressed(self) -> None:
        if self._clock.now() - self._registered_at < COPY_AGE_SECONDS:
            self._reregistration.start(self._register_again())

    async def _register_again(self) -> None:
        """Write the record that the store may have lost, at a random time to spread the load."""
        await self._pause_for_others()
        await self._retry_until_done(self._put)

    async def _pause_for_others(self) -> None:
        seconds = max(REREGISTRATION_SECONDS, len(self._directory) / REREGISTRATIONS_PER_SECOND)
        await asyncio.sleep(seconds * self._randomness.random())

    def _record_instance(self) -> None:
        if not self._is_recording and self._is_instance_missing():
            self._is_recording = True
            self._reregistration.start(self._record_instance_soon())

    async def _record_instance_soon(self) -> None:
        """Record the identified incarnation; one that is replaced before then is left out."""
        try:
            while self._is_instance_missing():
                await self._pause_for_others()
                if self._is_registered and self._is_instance_missing():
                    await self._retry_until_done(self._put)
        finally:
            self._is_recording = False

    def _is_instance_missing(self) -> bool:
        instance = self._local_backend.observed_backend.identified_instance
        return instance is not None and instance != self._recorded_instance

    async def _register_with_all(self) -> None:
        """Register in a common start of all nodes, then get the list of the others."""
        started_at = self._clock.now()
        self._withdrawals.start_without_history()
        await self._retry_until_done(self._put)
        is_late = self._clock.now() - started_at > LATE_START_SECONDS
        if not is_late and self._record_offset % NODES_PER_EARLY_READER == 0:
            await asyncio.sleep(EARLY_READ_SECONDS)
            await self._retry_until_done(self._read)
            await self._sync.broadcast_peers()
        elif is_late or not await self._receives_peer_list():
            await self._retry_until_done(self._read)
            await self._sync.announce_self(self._readers.readers_of_all_data_centres())

    async def _receives_peer_list(self) -> bool:
        """Wait for another node to send the list of all nodes; return whether it arrived."""
        try:
            async with asyncio.timeout(EARLY_READ_SECONDS + PEER_LIST_TIMEOUT_SECONDS):
                await self._directory.full_list_received.wait()
        except TimeoutError:
            return False
        return True

    async def _retry_until_done(self, step: Callable[[], Awaitable[object]]) -> None:
        while True:
            try:
                await step()
            except StoreUnavailableError as error:
                self._log.event("registration_delayed", reason=error.detail)
                await asyncio.sleep(self._backoff * (0.5 + self._randomness.random()))
                self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 2)
            else:
                self._backoff = FIRST_BACKOFF_SECONDS
                return

    async def _register(self) -> None:
        me = self._directory.me
        registered = {peer.node: peer for peer in await self._read()}
        if registered.get(me.node) == me:
            self._is_registered = True
            return
        await self._put()
        await self._sync.announce_self(self._readers.readers_of_all_data_centres())

    async def _put(self) -> None:
        me = self._directory.me
        identified = self._local_backend.observed_backend.identified_instance
        instance = identified or self._recorded_instance
        value = NodeRecord(**msgspec.structs.asdict(me), backend_instance=instance)
        record = KeyedRecord(me.node, msgspec.json.encode(value))
        self._record_offset = await self._store.put(self._topic, record)
        self._recorded_instance = instance
        self._is_registered = True
        self._registered_at = self._clock.now()
        self._log.event("registered", known=len(self._directory) - 1, instance=instance)

    async def _read(self) -> list[Peer]:
        page = await self._store.newest(self._topic)
        self._withdrawals.read(r for r in page.records if self._withdrawals.accepts(r))
        peers = list(self._peers(page))
        self._read_instance(page)
        self._directory.merge(peers, "store")
        self._directory.is_complete = True
        self._directory.peers_known.set()
        return peers

    def _read_instance(self, page: RecordPage) -> None:
        """Apply which incarnation an earlier process of this node has identified."""
        for record in page.records:
            if record.key != self._directory.me.node or self._recorded_instance is not None:
                continue
            try:
                instance = msgspec.json.decode(record.value, type=NodeRecord).backend_instance
            except msgspec.DecodeError:
                # Reported where the nodes are read.
                continue
            if instance is not None:
                self._recorded_instance = instance
                self._local_backend.recorded(instance)

    def _peers(self, page: RecordPage) -> Iterator[Peer]:
        for record in page.records:
            if self._crash_records.apply(record) or self._withdrawals.accepts(record):
                continue
            try:
                yield msgspec.json.decode(record.value, type=Peer)
            except msgspec.DecodeError as error:
                self._log.event("peer_record_unreadable", key=record.key, reason=str(error))
