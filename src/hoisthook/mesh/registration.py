"""Nodes' records in the platform's store: this node's own and those of the others."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from hoisthook.background_tasks import BackgroundTasks
from hoisthook.exceptions import StoreUnavailableError
from hoisthook.mesh.peer import Peer
from hoisthook.port.record_store import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from hoisthook.membership.store_era import StoreEra
    from hoisthook.mesh.crash_records import CrashRecords
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.mesh.store_readers import StoreReaders
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordPage
    from hoisthook.port.record_store import RecordStore

# When all nodes start at once, each reads after the others have registered: they start within
# 0.3 s of each other, and a start takes up to a second on a slow core.
EARLY_READ_SECONDS = 1.6
# A node that registers later than this in a common start introduces itself like a new one.
LATE_SECONDS = 1.2
# In a common start one of so many reads the list and tells its data centre; the others wait to
# be told. With 195 nodes in five data centres 13 read, and a data centre has none of them once in
# 18 starts, in which its nodes read themselves.
NODES_PER_EARLY_READER = 16
# A store that comes back from an older copy lacks what was written in its last seconds: so long
# ago a node must have registered to be sure that the copy holds it.
COPY_AGE_SECONDS = 60.0
# Nodes that register again do it spread over this time, each so many a second at most.
AGAIN_SECONDS = 2.0
AGAIN_PER_SECOND = 200.0
# How long they wait beyond the time at which it is read, which covers the telling of 39 nodes.
TOLD_SECONDS = 2.5
# Readers read the list again in turn: one read in this time over all of them together, and none
# oftener than the least. Introductions bring what is new; these reads mend what they miss.
READ_SECONDS_PER_READER = 5.0
MIN_READ_SECONDS = 15.0
FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.0


class Registration:
    """Registers this node once and reads who else is registered.

    A node that is found as it registered before writes nothing. The readers of all data
    centres learn of a new node from itself, see `hoisthook.mesh.peer_sync.PeerSync.introduce`,
    and the other nodes from them; the reads in turn, by readers alone, mend what that misses.

    Parameters
    ----------
    topic : str
        Where the nodes' records are; the newest of each key is kept there.
    directory : PeerDirectory
        Gets the records.
    store : RecordStore
        The platform's.
    sync : PeerSync
        Introduces a node that is new.
    readers : StoreReaders
        Who is told of it, and who reads again in turn.
    crash_records : CrashRecords
        Gets the records that are no nodes.
    era : StoreEra
        Tells when the store has come back from an older copy.
    clock : Clock
        Monotonic.
    randomness : Randomness
        Spreads the reads of many nodes.
    log : EventLog
        Gets a line for each record that cannot be read.
    first_start : bool
        Whether all nodes start at this moment, so that none need be told.
    """

    def __init__(
        self,
        topic: str,
        directory: PeerDirectory,
        store: RecordStore,
        sync: PeerSync,
        readers: StoreReaders,
        crash_records: CrashRecords,
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
        self._clock = clock
        self._randomness = randomness
        self._log = log
        self._first_start = first_start
        self._number = 0
        self._registered_at = -math.inf
        self._again = BackgroundTasks()
        era.on_change(self._store_regressed)
        self._backoff = FIRST_BACKOFF_SECONDS

    async def run(self) -> None:
        """Register, then read until cancelled."""
        if self._first_start:
            await self._register_with_all()
        else:
            await self._until_done(self._register)
        while True:
            all_readers = len(self._readers.everywhere())
            seconds = max(MIN_READ_SECONDS, READ_SECONDS_PER_READER * all_readers)
            await asyncio.sleep(seconds * (0.75 + 0.5 * self._randomness.random()))
            if not self._readers.to_ask():
                await self._until_done(self._read)

    def close(self) -> None:
        """Stop registering again."""
        self._again.close()

    def _store_regressed(self) -> None:
        if self._clock.now() - self._registered_at < COPY_AGE_SECONDS:
            self._again.start(self._register_again())

    async def _register_again(self) -> None:
        """Write the record that the store may have lost, not with all other nodes at once."""
        seconds = max(AGAIN_SECONDS, len(self._directory) / AGAIN_PER_SECOND)
        await asyncio.sleep(seconds * self._randomness.random())
        await self._until_done(self._put)

    async def _register_with_all(self) -> None:
        """Register where nobody is registered yet, then learn who else has."""
        begun = self._clock.now()
        await self._until_done(self._put)
        is_late = self._clock.now() - begun > LATE_SECONDS
        if not is_late and self._number % NODES_PER_EARLY_READER == 0:
            await asyncio.sleep(EARLY_READ_SECONDS)
            await self._until_done(self._read)
            await self._sync.tell_all()
        elif is_late or not await self._is_told():
            await self._until_done(self._read)
            await self._sync.introduce(self._readers.everywhere())

    async def _is_told(self) -> bool:
        """Wait to be told of all nodes; return whether this one was."""
        try:
            async with asyncio.timeout(EARLY_READ_SECONDS + TOLD_SECONDS):
                await self._directory.told.wait()
        except TimeoutError:
            return False
        return True

    async def _until_done(self, step: Callable[[], Awaitable[object]]) -> None:
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
            return
        await self._put()
        await self._sync.introduce(self._readers.everywhere())

    async def _put(self) -> None:
        me = self._directory.me
        record = KeyedRecord(me.node, msgspec.json.encode(me))
        self._number = await self._store.put(self._topic, record)
        self._registered_at = self._clock.now()
        self._log.event("registered", known=len(self._directory) - 1)

    async def _read(self) -> list[Peer]:
        page = await self._store.newest(self._topic)
        peers = list(self._peers(page))
        self._directory.merge(peers, "store")
        self._directory.is_complete = True
        self._directory.listed.set()
        return peers

    def _peers(self, page: RecordPage) -> Iterator[Peer]:
        for record in page.records:
            if self._crash_records.take(record):
                continue
            try:
                yield msgspec.json.decode(record.value, type=Peer)
            except msgspec.DecodeError as error:
                self._log.event("peer_record_unreadable", key=record.key, reason=str(error))
