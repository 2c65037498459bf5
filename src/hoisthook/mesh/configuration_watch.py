"""Watches the configuration record in the platform's store, directly or through a reader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.exceptions import StoreUnavailableError
from hoisthook.membership.store_era import provisional_revision_at
from hoisthook.membership.store_era import revision_at
from hoisthook.mesh.reader_polls import ReaderPolls
from hoisthook.result_code import ResultCode
from hoisthook.traffic.configuration_freshness import ConfigurationFreshness
from hoisthook.traffic.configuration_holder import ConfigurationSource
from hoisthook.traffic.evacuation_tracker import EvacuationTracker

if TYPE_CHECKING:
    from hoisthook.membership.store_era import StoreEra
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.mesh.store_readers import StoreReaders
    from hoisthook.mesh.sync_messages import SyncReply
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordPage
    from hoisthook.port.record_store import RecordStore
    from hoisthook.teams.key_lease import KeyLease
    from hoisthook.traffic.configuration_age import ConfigurationAge
    from hoisthook.traffic.configuration_exchange import ConfigurationDecoder
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.evacuations import Evacuations

# Range of the long poll of the store. A poll on a dead connection looks like one without changes,
# so the configuration is verified meanwhile, see `hoisthook.traffic.configuration_freshness`.
MIN_WAIT_SECONDS = 1.0
MAX_WAIT_SECONDS = 10.0
# A check that is due sooner than this is made at once.
MIN_CHECK_PAUSE_SECONDS = 0.001
# Pause after a change before the next read, so that changes in quick succession cost one call.
SETTLE_SECONDS = 0.4
# A node without a configuration answers its callers with 503. It polls all its readers at once, and
# while they have no configuration either, again at an interval that starts at
# FIRST_POLL_INTERVAL_SECONDS and doubles up to MAX_FIRST_POLL_INTERVAL_SECONDS.
FIRST_POLL_INTERVAL_SECONDS = 0.03
MAX_FIRST_POLL_INTERVAL_SECONDS = 0.2
# A reader that starts asks other readers, those of its data centre if there are any, for at most
# MAX_ASKING_SECONDS before its first read.
OTHER_READERS_TO_ASK = 3
MAX_ASKING_SECONDS = 0.1
FIRST_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 1.0


class ConfigurationWatch:
    """Reads the newest record once, then waits for each change.

    In a data centre of many nodes only some, the readers, read the store. The others poll a reader
    from their start on, which costs the store nothing, and read the store themselves if no reader
    answers. While the store does not answer the readers, a limited number of other nodes take
    their place. With 195 nodes and 495 starts, a third of the nodes rejected by the store for 9 s,
    the store received 1,068 calls, and 3,120 if every node read it itself during such a time.

    Parameters
    ----------
    topic, key : str
        Topic and key of the record that operators publish.
    store : RecordStore
        The platform's store.
    decode : ConfigurationDecoder
        Decodes a record.
    holder : ConfigurationHolder
        Receives the configurations that are read.
    evacuations : Evacuations
        Receives the evacuated data centres.
    evacuation_prefix : str
        Prefix of the keys of evacuation records, followed by a data centre; empty for none.
    era : StoreEra
        Receives the store's era, and reports when the store has regressed to an older state.
    lease : KeyLease
        Renewed whenever the configuration is known to be the newest.
    age : ConfigurationAge
        Renewed by each answer of the store.
    sync : PeerSync
        Polls peers; its ``store_away`` is kept up to date.
    readers : StoreReaders
        Selects the nodes that read the store.
    peers_known : asyncio.Event
        Set once other nodes are known, so that readers can be selected.
    apply_seconds : float
        Time after its acknowledgement within which a change must be in force.
    clock : Clock
        Monotonic.
    randomness : Randomness
        Spreads the calls of many nodes over time.
    log : EventLog
        Receives events, such as the loss and the return of the store.
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
        age: ConfigurationAge,
        sync: PeerSync,
        readers: StoreReaders,
        peers_known: asyncio.Event,
        apply_seconds: float,
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
        # Evacuations as of `_offset` of the log, as read by this node itself.
        self._evacuation_reading = EvacuationTracker(evacuation_prefix)
        self._era = era
        self._lease = lease
        self._age = age
        self._freshness = ConfigurationFreshness(
            apply_seconds, age, randomness, longest_unchecked=lease.longest_wait
        )
        self._polls = ReaderPolls(
            sync,
            readers,
            holder,
            self._freshness,
            lease,
            self._apply_reply,
            clock,
            randomness,
            log,
        )
        era.on_change(self._store_regressed)
        self._sync = sync
        self._readers = readers
        self._peers_known = peers_known
        self._clock = clock
        self._randomness = randomness
        self._log = log
        self._offset: int | None = None
        self._backoff = FIRST_BACKOFF_SECONDS

    async def run(self) -> None:
        """Watch the record until cancelled."""
        await self._peers_known.wait()
        await self._fetch_first()
        while True:
            readers = self._readers.poll_targets()
            if readers and not self._polls.is_exhausted:
                await self._polls.poll(readers)
                continue
            if readers:
                # Read the newest record instead of waiting for the next change.
                self._offset = None
            self._polls.unanswered = 0
            await self._read()

    async def _fetch_first(self) -> None:
        """Poll the readers until there is a configuration, or this node is a reader itself."""
        seconds = FIRST_POLL_INTERVAL_SECONDS
        while self._holder.current is None:
            readers = self._readers.poll_targets()
            if not readers:
                await self._ask_other_readers()
                return
            why = await self._polls.poll_all(readers)
            if self._holder.current is None and why is not None:
                self._log.event("configuration_read_at_start", readers=len(readers), why=why)
                await self._read()
            if self._holder.current is None:
                await self._pause(seconds)
                seconds = min(MAX_FIRST_POLL_INTERVAL_SECONDS, 2 * seconds)

    async def _ask_other_readers(self) -> None:
        """Get the evacuations in force from other nodes, before the first reading of the store.

        The store may just have regressed. This node, which remembers nothing, would take its
        listing for complete, and the nodes that poll it would take evacuations back.
        """
        others = self._readers.other_local_readers()
        others = others or self._readers.readers_of_all_data_centres()[:OTHER_READERS_TO_ASK]
        if others:
            asking = asyncio.get_running_loop().create_task(self._polls.poll_all(others))
            await asyncio.wait((asking,), timeout=MAX_ASKING_SECONDS)

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds * (0.75 + 0.5 * self._randomness.random()))

    def _apply_reply(self, reader: PeerView, reply: SyncReply) -> None:
        """Apply what a reply says about the store."""
        if reply.grace > 0 and not self._evacuation_reading.has_begun:
            self._begin_grace(reply.grace)
        if reply.store_away:
            self._readers.note_store_rejection(reader)
        else:
            self._store_answered()

    async def _read(self) -> None:
        try:
            had_records = await self._read_once()
        except StoreUnavailableError as error:
            await self._store_failed(error)
            return
        self._store_answered()
        if had_records:
            until_check = max(0.0, self._freshness.check_at - self._clock.now())
            await asyncio.sleep(min(SETTLE_SECONDS, until_check))

    async def _read_once(self) -> bool:
        """Read or wait once; return whether there were records."""
        reading = self._evacuation_reading
        if reading.needs_listing and not reading.is_provisional(self._clock.now()):
            self._offset = None
        offset = self._offset
        started_at = self._clock.now()
        if offset is None:
            page = await self._store.newest(self._topic)
            self._check_era(page)
            reading.resume_from(self._evacuations.data_centres)
            reading.apply_listing(page.records, self._clock.now())
        else:
            later_page = await self._await_changes(offset)
            if later_page is None:
                # The records since the offset are no longer retained, or the store has regressed
                # to a copy that ends before it.
                self._log.event("configuration_history_lost", offset=offset)
                self._offset = None
                return False
            page = later_page
            self._check_era(page)
            if self._offset is None:
                # The era has changed, so the requested offset belongs to another history.
                return False
            reading.apply_changes(page.records)
        self._offset = page.end
        has_records = self._apply(page)
        self._age.confirmed(started_at)
        if self._lease.is_limited and not self._has_unreadable_configuration(page):
            self._lease.confirmed(started_at)
        return has_records

    async def _await_changes(self, offset: int) -> RecordPage | None:
        """Wait for records; verify at intervals by short reads that there are none yet."""
        wait = self._wait_seconds()
        started_at = self._clock.now()
        loop = asyncio.get_running_loop()
        poll = loop.create_task(self._store.changes(self._topic, offset, wait))
        try:
            while not poll.done():
                until_check = self._freshness.check_at - self._clock.now()
                if until_check > MIN_CHECK_PAUSE_SECONDS:
                    await asyncio.wait((poll,), timeout=until_check)
                    continue
                page = await self._check(offset)
                if page is None or page.records or self._offset is None:
                    return page
            page = poll.result()
        finally:
            poll.cancel()
            await asyncio.gather(poll, return_exceptions=True)
        if page is not None and not page.records:
            # The store has waited all the time for a first record.
            self._age.confirmed(started_at + wait)
        return page

    async def _check(self, offset: int) -> RecordPage | None:
        """Read what was written from ``offset`` on, without waiting."""
        started_at = self._clock.now()
        page = await self._store.changes(self._topic, offset, 0.0)
        if page is not None:
            self._check_era(page)
            if not page.records:
                self._age.confirmed(started_at)
                self._lease.confirmed(started_at)
        return page

    def _has_unreadable_configuration(self, page: RecordPage) -> bool:
        """Return whether the newest configuration of a page cannot be decoded."""
        published = [record for record in page.records if record.key == self._key and record.value]
        return bool(published) and self._decode(published[-1].value) is None

    def _check_era(self, page: RecordPage) -> None:
        """Reject a page of an older era than the one that peers have reported."""
        self._era.update(page.era)
        if page.era is not None and page.era != self._era.current:
            self._offset = None
            raise StoreUnavailableError(
                ResultCode.STORE_UNAVAILABLE, "the store's answer is of an earlier era"
            )

    def _store_regressed(self) -> None:
        """Read the newest records now, and again once lost records have been rewritten."""
        self._begin_grace()
        self._offset = None

    def _begin_grace(self, seconds: float | None = None) -> None:
        self._evacuation_reading.store_regressed(self._clock.now(), seconds)
        self._sync.grace_until = self._evacuation_reading.provisional_until

    def _wait_seconds(self) -> float:
        if self._sync.store_away:
            # Only checks whether the store is available again.
            return 0.0
        if self._evacuation_reading.needs_listing:
            return MIN_WAIT_SECONDS
        spread = MAX_WAIT_SECONDS - MIN_WAIT_SECONDS
        return MIN_WAIT_SECONDS + self._randomness.random() * spread

    def _apply(self, page: RecordPage) -> bool:
        # Evacuations first, so that no other node gets the configuration from here without them.
        reading = self._evacuation_reading
        rank = provisional_revision_at if reading.needs_listing else revision_at
        revision = rank(page.era or 0, page.end)
        self._evacuations.offer(revision, reading.data_centres, ConfigurationSource.STORE)
        published = [r.value for r in page.records if r.key == self._key and r.value]
        read = [configuration for raw in published if (configuration := self._decode(raw))]
        if read:
            # Of many changes in one page only the newest takes effect.
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
