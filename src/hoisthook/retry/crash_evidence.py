"""Evidence of which work has crashed backend servers, as known to one node."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec

from hoisthook.identity import InstanceId
from hoisthook.identity import ServiceName
from hoisthook.identity import WorkId

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from hoisthook.port.event_sink import EventSink

# Crashes of different incarnations after which work is rejected. Unrelated work that runs in the
# same backend server shares one crash, rarely two, and a third only by chance.
CRASHES_NEEDED = 3
# Seconds after the last crash for which evidence is kept. The work may arrive again for as long as
# a caller repeats it; it is admitted again only after operators have had time to see the events.
EVIDENCE_TTL_SECONDS = 600.0
# Works tracked at once. A crash adds all works that ran in the backend server; eviction keeps those
# with the most crashes.
MAX_WORKS = 512
# Stands in place of an incarnation in a report that the work has succeeded.
SUCCEEDED = InstanceId("")


class CrashReport(msgspec.Struct, frozen=True):
    """A crash of an incarnation while it executed some work, or a success of that work.

    Attributes
    ----------
    service : ServiceName
        Service of the backend server that executed it.
    work : WorkId
        The work that was executed.
    instance : InstanceId
        The incarnation that crashed; `SUCCEEDED` if some incarnation completed the work.
    age : float
        Seconds since the crash or success; not a time, because the clocks of instances differ.
    """

    service: ServiceName
    work: WorkId
    instance: InstanceId
    age: float


@dataclass(slots=True)
class _Suspect:
    """Crashes and the last success known of one work."""

    at_by_instance: dict[InstanceId, float] = field(default_factory=dict)
    is_rejected: bool = False

    @property
    def crashed_instances(self) -> list[InstanceId]:
        return [instance for instance in self.at_by_instance if instance != SUCCEEDED]

    @property
    def last_at(self) -> float:
        return max(self.at_by_instance.values())

    def record(self, instance: InstanceId, at: float) -> bool:
        """Record a report; return whether it added anything new."""
        if instance == SUCCEEDED:
            return self._record_success(at)
        if instance in self.at_by_instance or at <= self.at_by_instance.get(SUCCEEDED, -math.inf):
            return False
        self.at_by_instance[instance] = at
        return True

    def _record_success(self, at: float) -> bool:
        if self.at_by_instance.get(SUCCEEDED, -math.inf) >= at:
            return False
        self.at_by_instance = {
            i: crashed_at for i, crashed_at in self.at_by_instance.items() if crashed_at > at
        }
        self.at_by_instance[SUCCEEDED] = at
        return True


class CrashEvidence:
    """Counts the crashes under each work and decides which work is rejected.

    Load pattern: one caller repeats a request that crashes every backend server that starts to
    execute it, a few times a second, through any node. Each crash takes the backend server down
    for some seconds and loses the other requests that it runs. Forwarded every time, twelve sends
    of such a request crashed four backend servers 25 times. No single node sees enough crashes to
    decide, so crash reports are sent to all nodes of the service.

    Work is rejected once `CRASHES_NEEDED` incarnations have crashed under it and none has completed
    it since the first crash. Crashes of one incarnation count once, whichever node reports them.
    Where a whole data centre loses power, the nodes that could report crashes stop as well, so
    the work that ran there is not blamed.

    Parameters
    ----------
    log : EventSink
        Receives an event for each work when its rejection begins or ends.
    """

    def __init__(self, log: EventSink) -> None:
        self._log = log
        self._by_service: dict[ServiceName, dict[WorkId, _Suspect]] = {}
        # Cached, since each poll between nodes carries the digest and it rarely changes.
        self._digest_by_service: dict[ServiceName, int] = {}
        self._on_rejected: list[Callable[[ServiceName, WorkId], None]] = []

    def on_rejected(self, listener: Callable[[ServiceName, WorkId], None]) -> None:
        """Call ``listener`` with each work whose rejection begins."""
        self._on_rejected.append(listener)

    def __len__(self) -> int:
        return sum(len(suspects) for suspects in self._by_service.values())

    @property
    def refused(self) -> int:
        """Return how many works are rejected."""
        suspects = (s for by_work in self._by_service.values() for s in by_work.values())
        return sum(suspect.is_rejected for suspect in suspects)

    def has_evidence(self, service: ServiceName) -> bool:
        """Return whether there is a report on any work of a service."""
        return service in self._by_service

    def rejected_for(self, service: ServiceName, work: WorkId, now: float) -> float:
        """Return for how many more seconds a work is rejected; 0 if it is not."""
        suspect = self._by_service.get(service, {}).get(work)
        if suspect is None or not suspect.is_rejected:
            return 0.0
        return max(0.0, suspect.last_at + EVIDENCE_TTL_SECONDS - now)

    def ended(self, service: ServiceName, work: WorkId, instance: InstanceId, now: float) -> None:
        """Record that an incarnation crashed while it executed a work."""
        self._record(service, work, instance, now)

    def ran_well(self, service: ServiceName, work: WorkId, now: float) -> None:
        """Record that a work has succeeded, which clears its earlier crashes."""
        if work in self._by_service.get(service, {}):
            self._record(service, work, SUCCEEDED, now)

    def merge(self, reports: Sequence[CrashReport], now: float) -> bool:
        """Record the reports of another node; return whether any of them is new."""
        if not reports:
            return False
        new = [
            self._record(report.service, report.work, report.instance, now - max(0.0, report.age))
            for report in reports
            if report.age < EVIDENCE_TTL_SECONDS
        ]
        self._drop_expired(now)
        return any(new)

    def reports(self, service: ServiceName, now: float) -> list[CrashReport]:
        """Return all reports on works of a service."""
        self._drop_expired(now)
        works = self._by_service.get(service, {})
        return [report for work in works for report in self.reports_of(service, work, now)]

    def all_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return all reports on works of any service."""
        services = list(self._by_service)
        return tuple(report for service in services for report in self.reports(service, now))

    def reports_of(self, service: ServiceName, work: WorkId, now: float) -> Iterator[CrashReport]:
        """Yield the reports on one work."""
        suspect = self._by_service[service][work]
        for instance, at in suspect.at_by_instance.items():
            yield CrashReport(service, work, instance, max(0.0, now - at))

    def digest(self, service: ServiceName) -> int:
        """Return a checksum that is equal in nodes with the same reports; 0 if there are none."""
        known = self._digest_by_service.get(service)
        if known is not None:
            return known
        digest = 0
        for work, suspect in self._by_service.get(service, {}).items():
            for instance in suspect.at_by_instance:
                digest ^= zlib.crc32(f"{work} {instance}".encode())
        self._digest_by_service[service] = digest
        return digest

    def _record(self, service: ServiceName, work: WorkId, instance: InstanceId, at: float) -> bool:
        works = self._by_service.setdefault(service, {})
        suspect = works.setdefault(work, _Suspect())
        if not suspect.record(instance, at):
            return False
        self._digest_by_service.pop(service, None)
        self._update_rejection(service, work, suspect)
        self._evict_excess()
        return True

    def _update_rejection(self, service: ServiceName, work: WorkId, suspect: _Suspect) -> None:
        was_rejected = suspect.is_rejected
        crashed = suspect.crashed_instances
        suspect.is_rejected = len(crashed) >= CRASHES_NEEDED
        if was_rejected and not suspect.is_rejected:
            self._log.event("work_cleared", service=service, work=work)
        if suspect.is_rejected and not was_rejected:
            self._log.event("work_refused", service=service, work=work, ended=crashed)
            for listener in self._on_rejected:
                listener(service, work)

    def _drop_expired(self, now: float) -> None:
        for service, works in list(self._by_service.items()):
            kept = {w: s for w, s in works.items() if s.last_at > now - EVIDENCE_TTL_SECONDS}
            if len(kept) < len(works):
                self._replace_works(service, kept)

    def _evict_excess(self) -> None:
        """Evict the work with the fewest crashes, the oldest first.

        By this order a flood of other work cannot push out work that is rejected.
        """
        if len(self) <= MAX_WORKS:
            return
        candidates = [
            (len(suspect.crashed_instances), suspect.last_at, service, work)
            for service, works in self._by_service.items()
            for work, suspect in works.items()
        ]
        _, _, service, work = min(candidates)
        kept = {w: s for w, s in self._by_service[service].items() if w != work}
        self._replace_works(service, kept)

    def _replace_works(self, service: ServiceName, works: dict[WorkId, _Suspect]) -> None:
        self._digest_by_service.pop(service, None)
        if works:
            self._by_service[service] = works
        else:
            del self._by_service[service]
