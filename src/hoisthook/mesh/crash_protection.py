"""A node's parts against work that ends backend servers, put together."""

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
    """What a node knows, sees, tells and keeps of work that ends backend servers.

    Parameters
    ----------
    service : ServiceName
        Of the backend server beside.
    clock : Clock
        Monotonic.
    log : EventLog
        Gets a line for each work that is refused.

    Attributes
    ----------
    evidence : CrashEvidence
        What it knows.
    crash_monitor : CrashMonitor
        What it sees beside.
    """

    def __init__(self, service: ServiceName, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._notifier: CrashNotifier | None = None
        self._records: CrashRecords | None = None
        self.evidence = CrashEvidence(log)
        self.crash_monitor = CrashMonitor(service, self.evidence, clock)

    def tell_by(self, directory: PeerDirectory, sync: PeerSync) -> None:
        """Tell the other nodes of the service from now on."""
        self._notifier = CrashNotifier(directory, sync, self._clock)
        self.crash_monitor.on_crash_attributed(self._notifier.tell)

    def keep_in(self, store: RecordStore, topic: str, era: StoreEra) -> CrashRecords:
        """Keep in the store what is refused from now on; return what reads it there."""
        self._records = CrashRecords(
            topic, store, self.evidence, self.crash_monitor, self._clock, self._log
        )
        era.on_change(self._records.write_again)
        return self._records

    def close(self) -> None:
        """Stop telling and writing."""
        if self._notifier is not None:
            self._notifier.close()
        if self._records is not None:
            self._records.close()
