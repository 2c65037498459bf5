"""Follows the configuration record in the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.exceptions import StoreUnavailableError
from hoisthook.membership.store_era import revision_at
from hoisthook.result_code import ResultCode
from hoisthook.traffic.configuration_holder import ConfigurationSource
from hoisthook.traffic.evacuation_tracker import EvacuationTracker

if TYPE_CHECKING:
    from hoisthook.membership.store_era import StoreEra
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.mesh.store_readers import StoreReaders
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordPage
    from hoisthook.port.record_store import RecordStore
    from hoisthook.teams.key_lease import KeyLease
    from hoisthook.traffic.configuration_exchange import ConfigurationDecoder
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.evacuations import Evacuations

# One call in this time while nothing changes. A wait that an outage has silenced is not told from
# one in which nothing happens, so waits are drawn: some node's ends soon after the outage, and
# peers tell each other what it reads.
MIN_WAIT_SECONDS = 1.0
MAX_WAIT_SECONDS = 10.0
# After a change the next read waits, so that changes in quick succession cost one call.
SETTLE_SECONDS = 0.4
# For how long a question of a node that does not read is held by the one it asks, which answers
# as soon as there is a change. News of nodes have to wait for the next question.
FOLLOW_SECONDS = 0.6
# Between two questions where changes come one after the other.
MIN_FOLLOW_SECONDS = 0.02
# A node without a configuration answers its callers 503. It asks all its readers at once, again
# after this time, doubled up to the usual, while they have none either, and reads by itself if
# none takes a connection within the second one, or none that does answers. Asked one after the
# other, readers that are gone cost the last of 32 nodes 0.25 s after a restart of all.
FIRST_FOLLOW_SECONDS = 0.03
FIRST_ANSWER_SECONDS = 0.05
MAX_FIRST_FOLLOW_SECONDS = 0.2
# A node reads by itself once so many readers in a row have not answered.
MAX_UNANSWERED = 3
# Nodes begin with different readers.
ANY_TURN = 1000
FIRST_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 1.0


class ConfigurationWatch:
    """Reads the newest record once, then waits for each change.

    In a data centre of many nodes only some read; the others ask one of these, from their
    start on, which costs the store nothing, and read by themselves where none of them
    answers. While the store does not answer the readers, some others take their place.
    On a day of 195 nodes with 495 starts, a third of them turned away by the store for 9 s,
    it had 3,120 calls when each node read by itself at such times, and 1,068 so.

    Parameters
    ----------
    topic, key : str
        Where operators publish.
    store : RecordStore
        The platform's.
    decode : ConfigurationDecoder
        Reads a record.
    holder : ConfigurationHolder
        Gets what is read.
    evacuations : Evacuations
        Gets which data centres are evacuated.
    evacuation_prefix : str
        Keys that begin so and go on with a data centre ask for its evacuation; empty for none.
    era : StoreEra
        Told of the store's, and tells when it came back older.
    lease : KeyLease
        Told when the configuration was known to be the newest.
    sync : PeerSync
        Told whether the store answers; asks peers.
    readers : StoreReaders
        Tells who reads.
    listed : asyncio.Event
        Set once it is known who is there, so that readers can be told.
    clock : Clock
        Monotonic.
    randomness : Randomness
        Spreads the tries of many nodes.
    log : EventLog
        Gets a line when the store is lost and when it is back.
    """

    def __init__(
        self,
        topic: str,
        key: str,
        *,
        store: RecordStore,
        decode: ConfigurationDecoder,
        holder: ConfigurationHolder,
        evacuations: Evacuations,
        evacuation_prefix: str,
        era: StoreEra,
        lease: KeyLease,
        sync: PeerSync,
        readers: StoreReaders,
        listed: asyncio.Event,
        clock: Clock,
        randomness: Randomness,
        log: EventLog,
    ) -> None:
        self._topic = topic
        self._key = key
        self._store = store
        self._decode = decode
        self._holder = holder
        self._evacuations = evacuations
        # As of `_offset`, in this node's own reading of the log.
        self._evacuated = EvacuationTracker(evacuation_prefix)
        self._is_doubted = False
        self._era = era
        self._lease = lease
        era.on_change(self._store_regressed)
        self._sync = sync
        self._readers = readers
        self._listed = listed
        self._clock = clock
        self._randomness = randomness
        self._log = log
        self._offset: int | None = None
        self._backoff = FIRST_BACKOFF_SECONDS
        self._unanswered = 0
        self._is_unreadable = False
        self._asked = randomness.randrange(ANY_TURN)

    async def run(self) -> None:
        """Follow the record until cancelled."""
        await self._listed.wait()
        await self._get_first()
        while True:
            readers = self._readers.to_ask()
            if readers and self._unanswered < MAX_UNANSWERED:
                # In turn, so that what is told twice has been told to both.
                self._asked += 1
                hold = FOLLOW_SECONDS * (0.75 + 0.5 * self._randomness.random())
                hold = min(hold, self._lease.longest_hold)
                answered = await self._ask(readers[self._asked % len(readers)], hold)
                self._unanswered = 0 if answered else self._unanswered + 1
                if answered:
                    await self._pause(FOLLOW_SECONDS if self._is_unreadable else MIN_FOLLOW_SECONDS)
            else:
                if readers:
                    # Asks for the newest record, rather than waiting for the next.
                    self._offset = None
                self._unanswered = 0
                await self._read()

    async def _get_first(self) -> None:
        """Ask readers until there is a configuration, or this node is a reader itself."""
        seconds = FIRST_FOLLOW_SECONDS
        while self._holder.current is None:
            readers = self._readers.to_ask()
            if not readers:
                return
            why = await self._ask_all(readers)
            if self._holder.current is None and why is not None:
                self._log.event("configuration_read_at_start", readers=len(readers), why=why)
                await self._read()
            if self._holder.current is None:
                await self._pause(seconds)
                seconds = min(MAX_FIRST_FOLLOW_SECONDS, 2 * seconds)

    async def _ask_all(self, readers: list[PeerView]) -> str | None:
        """Ask readers at once; return why the store has to be read, or None if one has answered.

        Load pattern: nodes start together while machines are busy, so that readers that are there
        answer late. Each start that did not wait for them would add a read in the second in
        which the store has most to do.
        """
        connected = asyncio.Event()
        loop = asyncio.get_running_loop()
        asking = {loop.create_task(self._ask(reader, connected=connected)) for reader in readers}
        while asking:
            begun = self._clock.now()
            patience = None if connected.is_set() else FIRST_ANSWER_SECONDS
            answered, asking = await asyncio.wait(
                asking, timeout=patience, return_when=asyncio.FIRST_COMPLETED
            )
            if any(task.result() for task in answered):
                return None
            # Time in which this node itself stood still says nothing of the readers.
            late = self._clock.now() - begun - FIRST_ANSWER_SECONDS
            if not answered and not connected.is_set() and late < FIRST_ANSWER_SECONDS:
                break
        return "no reader answers" if connected.is_set() else "no reader takes connections"

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds * (0.75 + 0.5 * self._randomness.random()))

    async def _ask(
        self, reader: PeerView, hold: float = 0.0, connected: asyncio.Event | None = None
    ) -> bool:
        """Ask a reader, or one that asks it; return whether it answered."""
        reply = await self._sync.ask(
            reader.address, wants_news=True, hold=hold, connected=connected
        )
        if reply is None:
            reader.unreachable(self._clock.now())
            return False
        reader.connected()
        delta = reply.configuration
        # It would be told at once with each question.
        self._is_unreadable = delta is not None and delta.version > self._holder.version
        if reply.store_away:
            self._readers.turned_away(reader)
        else:
            self._store_answered()
        return True

    async def _read(self) -> None:
        try:
            taken = await self._read_once()
        except StoreUnavailableError as error:
            await self._store_failed(error)
            return
        self._store_answered()
        if taken:
            await asyncio.sleep(SETTLE_SECONDS)

    async def _read_once(self) -> bool:
        """Read or wait once; return whether there were records."""
        if self._is_doubted and not self._evacuated.is_provisional(self._clock.now()):
            self._is_doubted = False
            self._offset = None
        offset = self._offset
        begun = self._clock.now()
        if offset is None:
            page = await self._store.newest(self._topic)
            self._check_era(page)
            self._evacuated.apply_listing(page.records, self._clock.now())
        else:
            following = await self._store.changes(self._topic, offset, self._wait())
            if following is None:
                # The records in between are not kept any more, or the store has come back from a
                # copy that ends before them.
                self._log.event("configuration_history_lost", offset=offset)
                self._offset = None
                return False
            page = following
            self._check_era(page)
            if self._offset is None:
                # Its offsets are not those that were asked for.
                return False
            self._evacuated.apply_changes(page.records)
        self._offset = page.end
        has_records = self._take(page)
        if self._lease.is_limited and not self._is_unread(page):
            self._lease.confirmed(begun)
        return has_records

    def _is_unread(self, page: RecordPage) -> bool:
        """Return whether a page holds a configuration that is not in force, being unreadable."""
        published = [record for record in page.records if record.key == self._key and record.value]
        return bool(published) and self._decode(published[-1].value) is None

    def _check_era(self, page: RecordPage) -> None:
        """Pass over an answer of a history that the store has left, as peers have told."""
        self._era.heard(page.era)
        if page.era is not None and page.era != self._era.current:
            self._offset = None
            raise StoreUnavailableError(ResultCode.STORE_UNAVAILABLE, "of an earlier history")

    def _store_regressed(self) -> None:
        """Read the newest records again, and once more when what was lost is written again."""
        self._evacuated.store_regressed(self._clock.now())
        self._is_doubted = True
        self._offset = None

    def _wait(self) -> float:
        if self._sync.store_away:
            # Asks only whether the store is back.
            return 0.0
        if self._is_doubted:
            return MIN_WAIT_SECONDS
        spread = MAX_WAIT_SECONDS - MIN_WAIT_SECONDS
        wait = MIN_WAIT_SECONDS + self._randomness.random() * spread
        return min(wait, self._lease.longest_wait)

    def _take(self, page: RecordPage) -> bool:
        # First, so that no other node gets a configuration from here without them.
        revision = revision_at(page.era or 0, page.end)
        wanted = self._evacuated.data_centres
        self._evacuations.offer(revision, wanted, ConfigurationSource.STORE)
        published = [r.value for r in page.records if r.key == self._key and r.value]
        read = [configuration for raw in published if (configuration := self._decode(raw))]
        if read:
            # Of a storm only the newest.
            newest = max(read, key=lambda configuration: configuration.version)
            self._holder.offer(newest, ConfigurationSource.STORE)
        return bool(page.records)

    async def _store_failed(self, error: StoreUnavailableError) -> None:
        if not self._sync.store_away:
            self._sync.store_away = True
            self._log.event("store_lost", reason=error.detail)
        await asyncio.sleep(self._backoff * (0.5 + self._randomness.random()))
        self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 2)

    def _store_answered(self) -> None:
        self._backoff = FIRST_BACKOFF_SECONDS
        if self._sync.store_away:
            self._sync.store_away = False
            self._log.event("store_regained")
