"""Records of refused work in the platform's store, which survive a restart of all nodes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec

from hoisthook.background_tasks import BackgroundTasks
from hoisthook.exceptions import StoreUnavailableError
from hoisthook.port.record_store import KeyedRecord
from hoisthook.retry.crash_evidence import EVIDENCE_TTL_SECONDS
from hoisthook.retry.crash_evidence import CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.identity import ServiceName
    from hoisthook.identity import WorkId
    from hoisthook.local_backend.crash_monitor import CrashMonitor
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordStore
    from hoisthook.retry.crash_evidence import CrashEvidence

# Prefix of the keys of crash records, which share a topic with the nodes' registrations.
KEY_PREFIX = "crash/"
# Pause between two attempts while the store is unavailable; a refusal is in force without it.
RETRY_SECONDS = 1.0


class CrashRecord(msgspec.Struct, frozen=True):
    """The crash reports on which the refusal of some work is based.

    Attributes
    ----------
    at : float
        Time of writing in Unix seconds.
    reports : list of CrashReport
        Reports with their ages at that time.
    """

    at: float
    reports: list[CrashReport]


class CrashRecords:
    """Writes and reads records of refused work in the topic of the nodes' registrations.

    If all nodes of a service lose power at once, none is left to notify the others, and the work
    would crash three more backend servers. Only nodes whose own backend server crashed under the
    work write a record: at most three calls to the store for each refused work, and three to
    remove it.

    Parameters
    ----------
    topic : str
        Topic of the nodes' registrations.
    store : RecordStore
        The platform's store.
    evidence : CrashEvidence
        Source of the reports that are written, and receiver of those that are read.
    crash_monitor : CrashMonitor
        Knows whether the local backend server has crashed under the work.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives an event for each record that cannot be decoded and for each failed write.
    wall : callable
        Returns the current time in Unix seconds.
    """

    def __init__(
        self,
        topic: str,
        store: RecordStore,
        evidence: CrashEvidence,
        crash_monitor: CrashMonitor,
        clock: Clock,
        log: EventLog,
        *,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._topic = topic
        self._store = store
        self._evidence = evidence
        self._crash_monitor = crash_monitor
        self._clock = clock
        self._log = log
        self._wall = wall
        self._write_tasks = BackgroundTasks()
        # Records that this node maintains in the store.
        self._persisted_by_key: dict[str, KeyedRecord] = {}
        evidence.on_rejected(self._on_refused)

    def close(self) -> None:
        """Cancel writes in progress."""
        self._write_tasks.close()

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record of the topic; return whether it is one of refused work."""
        if not record.key.startswith(KEY_PREFIX):
            return False
        try:
            decoded = msgspec.json.decode(record.value, type=CrashRecord)
        except msgspec.DecodeError as error:
            self._log.event("crash_record_unreadable", key=record.key, reason=str(error))
            return True
        # The wall clock may have been set back since.
        elapsed_seconds = max(0.0, self._wall() - decoded.at)
        aged = [msgspec.structs.replace(r, age=r.age + elapsed_seconds) for r in decoded.reports]
        self._evidence.merge(aged, self._clock.now())
        return True

    def rewrite(self) -> None:
        """Write records again that the store may have lost when it regressed to an older copy."""
        for record in self._persisted_by_key.values():
            self._write_tasks.start(self._write(record))

    def _on_refused(self, service: ServiceName, work: WorkId) -> None:
        if not self._crash_monitor.has_crashed_under(work):
            return
        reports = list(self._evidence.reports_of(service, work, self._clock.now()))
        value = msgspec.json.encode(CrashRecord(self._wall(), reports))
        record = KeyedRecord(f"{KEY_PREFIX}{work}", value)
        self._write_tasks.start(self._persist_while_refused(record, service, work))

    async def _persist_while_refused(
        self, record: KeyedRecord, service: ServiceName, work: WorkId
    ) -> None:
        """Write a record and remove it once the work is no longer refused.

        The record of a node that stops before then remains, and is ignored once it has expired.
        """
        self._persisted_by_key[record.key] = record
        await self._write(record)
        while (remaining := self._evidence.rejected_for(service, work, self._clock.now())) > 0:
            await asyncio.sleep(remaining)
        del self._persisted_by_key[record.key]
        await self._write(KeyedRecord(record.key, b""))

    async def _write(self, record: KeyedRecord) -> None:
        until = self._clock.now() + EVIDENCE_TTL_SECONDS
        while self._clock.now() < until:
            try:
                await self._store.put(self._topic, record)
            except StoreUnavailableError as error:
                self._log.event("crash_record_delayed", key=record.key, reason=error.detail)
                await asyncio.sleep(RETRY_SECONDS)
            else:
                return
