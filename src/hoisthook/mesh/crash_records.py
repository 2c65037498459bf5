"""Keeps in the platform's store which work is refused, so that it outlasts all nodes."""

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

# Keys of the nodes' topic that begin so are no nodes.
KEY_PREFIX = "crash/"
# Between two tries while the store is away; a verdict is in force without it.
RETRY_SECONDS = 1.0


class CrashRecord(msgspec.Struct, frozen=True):
    """What was held against some work when it was refused.

    Attributes
    ----------
    at : float
        Unix seconds of the writing.
    reports : list of CrashReport
        With their ages at that time.
    """

    at: float
    reports: list[CrashReport]


class CrashRecords:
    """Writes and reads records of refused work, in the topic of the nodes.

    Where all nodes of a service lose power at once, none is left to tell the others, and the work
    would end three backend servers anew. Only nodes whose own backend server ended under the work
    write, three calls to the store at most for each work that is refused, and three to remove it.

    Parameters
    ----------
    topic : str
        The nodes'.
    store : RecordStore
        The platform's.
    evidence : CrashEvidence
        What is written, and gets what is read.
    crash_monitor : CrashMonitor
        Tells whether this node has seen an end under the work itself.
    clock : Clock
        Monotonic.
    log : EventLog
        Gets a line for each record that cannot be read, and for each try to write that failed.
    wall : callable
        Returns Unix seconds.
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
        self._writing = BackgroundTasks()
        # What this node keeps in the store now.
        self._kept_by_key: dict[str, KeyedRecord] = {}
        evidence.on_rejected(self._refused)

    def close(self) -> None:
        """Stop writing."""
        self._writing.close()

    def take(self, record: KeyedRecord) -> bool:
        """Take in a record of the nodes' topic; return whether it is one of refused work."""
        if not record.key.startswith(KEY_PREFIX):
            return False
        try:
            found = msgspec.json.decode(record.value, type=CrashRecord)
        except msgspec.DecodeError as error:
            self._log.event("crash_record_unreadable", key=record.key, reason=str(error))
            return True
        # The time of day may have been set back meanwhile.
        since = max(0.0, self._wall() - found.at)
        aged = [msgspec.structs.replace(r, age=r.age + since) for r in found.reports]
        self._evidence.merge(aged, self._clock.now())
        return True

    def write_again(self) -> None:
        """Write what the store may have lost with the copy that it came back from."""
        for record in self._kept_by_key.values():
            self._writing.start(self._write(record))

    def _refused(self, service: ServiceName, work: WorkId) -> None:
        if not self._crash_monitor.has_crashed_under(work):
            return
        reports = list(self._evidence.reports_of(service, work, self._clock.now()))
        value = msgspec.json.encode(CrashRecord(self._wall(), reports))
        record = KeyedRecord(f"{KEY_PREFIX}{work}", value)
        self._writing.start(self._keep_while_refused(record, service, work))

    async def _keep_while_refused(
        self, record: KeyedRecord, service: ServiceName, work: WorkId
    ) -> None:
        """Write a record and remove it once the work is refused no more.

        What a writer that ends leaves behind is too old to count, and stays.
        """
        self._kept_by_key[record.key] = record
        await self._write(record)
        while (left := self._evidence.rejected_for(service, work, self._clock.now())) > 0:
            await asyncio.sleep(left)
        del self._kept_by_key[record.key]
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
