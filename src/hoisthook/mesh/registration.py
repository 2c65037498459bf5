"""Nodes' records in the platform's store: this node's own and those of the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from hoisthook.exceptions import StoreUnavailableError
from hoisthook.mesh.peer import Peer
from hoisthook.port.record_store import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.port.clock import Randomness
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordPage
    from hoisthook.port.record_store import RecordStore

# Named so that the store keeps the newest record of each key.
TOPIC = "keyed.nodes"
# When all nodes start at once, each reads again after the others have registered.
EARLY_READS_SECONDS = (0.8, 2.0)
READ_SECONDS = 15.0
FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.0


class Registration:
    """Registers this node once and reads who else is registered.

    A node that is found as it registered before writes nothing. Others learn of a new
    node from itself, see `hoisthook.mesh.peer_sync.PeerSync.introduce`; the reads in
    between mend what that misses.

    Parameters
    ----------
    directory : PeerDirectory
        Gets the records.
    store : RecordStore
        The platform's.
    sync : PeerSync
        Introduces a node that is new.
    randomness : Randomness
        Spreads the reads of many nodes.
    log : EventLog
        Gets a line for each record that cannot be read.
    first_start : bool
        Whether all nodes start at this moment, so that none need be told.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        store: RecordStore,
        sync: PeerSync,
        randomness: Randomness,
        log: EventLog,
        *,
        first_start: bool,
    ) -> None:
        self._directory = directory
        self._store = store
        self._sync = sync
        self._randomness = randomness
        self._log = log
        self._first_start = first_start
        self._backoff = FIRST_BACKOFF_SECONDS

    async def run(self) -> None:
        """Register, then read until cancelled."""
        await self._until_done(self._register)
        if self._first_start:
            for seconds in EARLY_READS_SECONDS:
                await asyncio.sleep(seconds)
                await self._until_done(self._read)
        while True:
            await asyncio.sleep(READ_SECONDS * (0.75 + 0.5 * self._randomness.random()))
            await self._until_done(self._read)

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
        await self._store.put(TOPIC, KeyedRecord(me.node, msgspec.json.encode(me)))
        self._log.event("registered", known=len(registered))
        if not self._first_start:
            await self._sync.introduce()

    async def _read(self) -> list[Peer]:
        page = await self._store.newest(TOPIC)
        peers = list(self._peers(page))
        self._directory.merge(peers, "store")
        return peers

    def _peers(self, page: RecordPage) -> Iterator[Peer]:
        for record in page.records:
            try:
                yield msgspec.json.decode(record.value, type=Peer)
            except msgspec.DecodeError as error:
                self._log.event("peer_record_unreadable", key=record.key, reason=str(error))
