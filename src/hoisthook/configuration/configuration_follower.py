"""Keeps the configuration up to date from the platform's log and from peers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from hoisthook.configuration.configuration_state import Snapshot
from hoisthook.exceptions import HoisthookError
from hoisthook.port.peer_transport import ConfigurationPage

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.identity import Address
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.peer_transport import PeerTransport
    from hoisthook.port.platform_log import LogRecord
    from hoisthook.port.platform_log import PlatformLog

CHANGES_STREAM = "configuration"
SNAPSHOTS_STREAM = "configuration-snapshots"
LOG_WAIT_SECONDS = 1.0
RETRY_SECONDS = 0.5
MAX_RECENT_RECORDS = 512
SNAPSHOT_EVERY_RECORDS = 1_000
SNAPSHOT_SHARE_OF_RETENTION = 0.25


class ConfigurationFollower:
    """Applies records in the order of the log, whether the log or a peer delivers them.

    A record is applied only if it follows the last one applied. An outdated copy from a
    peer or a repeated or reordered record therefore never reverts the configuration. A gap
    is closed by a snapshot that is newer than the state, or by a later read.

    Parameters
    ----------
    state : ConfigurationState
        Records are applied to it.
    log : PlatformLog
        The platform's log.
    transport : PeerTransport
        Sends messages to peers.
    clock : Clock
        Monotonic clock.
    randomness : Randomness
        Spreads the writing of snapshots over the readers.
    retention : float
        Minimum time in seconds for which the log keeps a record.
    """

    def __init__(
        self,
        state: ConfigurationState,
        log: PlatformLog,
        transport: PeerTransport,
        clock: Clock,
        randomness: Randomness,
        *,
        retention: float,
    ) -> None:
        self._state = state
        self._log = log
        self._transport = transport
        self._clock = clock
        self._randomness = randomness
        self._retention = retention
        self._recent: deque[LogRecord] = deque(maxlen=MAX_RECENT_RECORDS)
        self._changed = asyncio.Condition()
        self._snapshot_position = 0
        self._snapshot_offset = -1
        self._snapshot_seen_at = clock.now()
        self.is_reader: Callable[[], bool] = lambda: True
        self.on_change: Callable[[], None] | None = None
        self.on_contact: Callable[[float], None] | None = None
        self.log_reachable = False

    async def run(self) -> None:
        """Follow the log while this node is a reader; runs until cancelled."""
        while True:
            try:
                if self.is_reader() or not self._state.loaded:
                    await self.read_log(wait=LOG_WAIT_SECONDS)
                    await self.keep_snapshot()
                else:
                    await asyncio.sleep(LOG_WAIT_SECONDS)
            except HoisthookError:
                self.log_reachable = False
                await asyncio.sleep(RETRY_SECONDS)

    async def read_log(self, *, wait: float = 0.0) -> None:
        """Apply the records of the log that follow the state.

        Parameters
        ----------
        wait : float
            Seconds to wait for a new record if there is none yet.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        """
        begun = self._clock.now()
        if not self._state.loaded:
            await self._read_snapshots()
        page = await self._log.read(CHANGES_STREAM, self._state.offset + 1, wait=wait)
        self.log_reachable = True
        if page.earliest > self._state.offset + 1:
            await self._read_snapshots()
        await self._apply(page.records)
        while page.records and page.next > self._state.offset + 1:
            before = self._state.offset
            page = await self._log.read(CHANGES_STREAM, before + 1)
            await self._apply(page.records)
            if self._state.offset == before:
                break
        if self.on_contact is not None:
            self.on_contact(begun)

    async def fetch_from_peer(self, address: Address, offset: int) -> None:
        """Fetch the records that a peer has applied beyond the state.

        Parameters
        ----------
        address : Address
            Address of the peer.
        offset : int
            Offset of the last record that the peer has applied.
        """
        if offset <= self._state.offset:
            return
        page = await self._transport.configuration(address, self._state.offset)
        if page.snapshot is not None:
            await self._restore(page.snapshot)
        await self._apply(page.records)

    def page_after(self, offset: int) -> ConfigurationPage:
        """Return the records applied after ``offset``, or a snapshot if they are not kept."""
        if not self._state.loaded or offset >= self._state.offset:
            return ConfigurationPage(None, ())
        first = self._recent[0].offset if self._recent else self._state.offset + 1
        if first > offset + 1:
            return ConfigurationPage(self._state.snapshot(), ())
        return ConfigurationPage(None, tuple(r for r in self._recent if r.offset > offset))

    async def wait_for(self, offset: int, timeout: float) -> bool:
        """Return whether the state reaches ``offset`` within ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout), self._changed:
                await self._changed.wait_for(lambda: self._state.offset >= offset)
        except TimeoutError:
            return False
        return True

    async def _apply(self, records: tuple[LogRecord, ...]) -> None:
        applied = False
        for record in records:
            if record.offset > self._state.offset + 1:
                break
            if record.offset == self._state.offset + 1:
                self._state.apply(record)
                self._recent.append(record)
                applied = True
        if applied:
            await self._notify()

    async def _restore(self, snapshot: Snapshot) -> None:
        if self._state.restore(snapshot):
            self._recent.clear()
            await self._notify()

    async def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()
        async with self._changed:
            self._changed.notify_all()

    async def _read_snapshots(self) -> None:
        page = await self._log.read(SNAPSHOTS_STREAM, self._snapshot_position)
        for record in page.records:
            snapshot = decode_snapshot(record.payload)
            if snapshot is None:
                continue
            if snapshot.offset > self._snapshot_offset:
                self._snapshot_offset = snapshot.offset
                self._snapshot_seen_at = self._clock.now()
            await self._restore(snapshot)
        if page.records:
            self._snapshot_position = page.records[-1].offset + 1

    async def keep_snapshot(self) -> None:
        """Append a snapshot to the log if one is due, before the records that it covers expire."""
        if not self._state.loaded or not self._snapshot_due():
            return
        await self._read_snapshots()
        if not self._snapshot_due():
            return
        snapshot = self._state.snapshot()
        await self._log.append(SNAPSHOTS_STREAM, msgspec.json.encode(snapshot))
        # A failed append is repeated; one whose answer was lost is found by reading the snapshots.
        self._snapshot_offset = snapshot.offset
        self._snapshot_seen_at = self._clock.now()

    def _snapshot_due(self) -> bool:
        if self._state.offset - self._snapshot_offset >= SNAPSHOT_EVERY_RECORDS:
            return True
        share = SNAPSHOT_SHARE_OF_RETENTION * (0.5 + 0.5 * self._randomness.random())
        return self._clock.now() - self._snapshot_seen_at > share * self._retention


def decode_snapshot(payload: bytes) -> Snapshot | None:
    """Return the decoded snapshot, or None if it cannot be decoded."""
    try:
        return msgspec.json.decode(payload, type=Snapshot)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
