"""Sets up a node's protection against work that crashes backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.local_backend.crash_monitor import CrashMonitor
from hoisthook.mesh.crash_notifier import CrashNotifier
from hoisthook.mesh.crash_records import CrashRecords
from hoisthook.retry.crash_evidence import CrashEvidence

if TYPE_CHECKING:
    from hoisthook.identity import ServiceName
    from hoisthook.membership.store_era import StoreEra
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordStore


class CrashProtection:
    """Detects, collects, announces and stores crashes of backend servers and the work blamed.

    Parameters
    ----------
    service : ServiceName
        Service of the local backend server.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives an event for each work that is refused.

    Attributes
    ----------
    evidence : CrashEvidence
        Crashes known to this node, its own and those reported by others.
    crash_monitor : CrashMonitor
        Blames running work when the local backend server crashes.
    """

    def __init__(self, service: ServiceName, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._notifier: CrashNotifier | None = None
        self._records: CrashRecords | None = None
        self.evidence = CrashEvidence(log)
        self.crash_monitor = CrashMonitor(service, self.evidence, clock)

    def notify_through(self, directory: PeerDirectory, sync: PeerSync) -> None:
        """Notify the other nodes of the service of crashes from now on."""
        self._notifier = CrashNotifier(directory, sync, self._clock)
        self.crash_monitor.on_crash_attributed(self._notifier.notify)

    def persist_in(self, store: RecordStore, topic: str, era: StoreEra) -> CrashRecords:
        """Store records of refused work from now on; return the object that reads them back."""
        self._records = CrashRecords(
            topic, store, self.evidence, self.crash_monitor, self._clock, self._log
        )
        era.on_change(self._records.rewrite)
        return self._records

    def close(self) -> None:
        """Cancel notifications and writes in progress."""
        if self._notifier is not None:
            self._notifier.close()
        if self._records is not None:
            self._records.close()
