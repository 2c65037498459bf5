"""Which work has ended backend servers, as far as a node knows."""

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

# Ends of different incarnations after which work is refused. What runs beside it in a backend
# server that ends is seen there too: it shares one end, seldom two, and a third only by chance.
ENDS_NEEDED = 3
# How long work is held to be what ended them after the last end: it may come again for as long as
# somebody repeats it, and is tried anew only after operators had time to see it.
LIFE_SECONDS = 600.0
# Works held at once. An end adds as many as ran in it; the most urgent to keep have most ends.
MAX_WORKS = 512
# In place of an incarnation where work has ended well.
RAN_WELL = InstanceId("")


class CrashReport(msgspec.Struct, frozen=True):
    """An incarnation that ended while it ran some work, or that work having ended well.

    Attributes
    ----------
    service : ServiceName
        Whose backend server ran it.
    work : WorkId
        What it ran.
    instance : InstanceId
        The incarnation that ended; `RAN_WELL` where some incarnation ran it to a good end.
    age : float
        Seconds since then; clocks of instances differ.
    """

    service: ServiceName
    work: WorkId
    instance: InstanceId
    age: float


@dataclass(slots=True)
class _Suspect:
    """What is known of some work."""

    at_by_instance: dict[InstanceId, float] = field(default_factory=dict)
    is_refused: bool = False

    @property
    def ends(self) -> list[InstanceId]:
        return [instance for instance in self.at_by_instance if instance != RAN_WELL]

    @property
    def last_at(self) -> float:
        return max(self.at_by_instance.values())

    def note(self, instance: InstanceId, at: float) -> bool:
        """Take in a report; return whether it says anything new."""
        if instance == RAN_WELL:
            return self._note_well(at)
        if instance in self.at_by_instance or at <= self.at_by_instance.get(RAN_WELL, -math.inf):
            return False
        self.at_by_instance[instance] = at
        return True

    def _note_well(self, at: float) -> bool:
        if self.at_by_instance.get(RAN_WELL, -math.inf) >= at:
            return False
        self.at_by_instance = {i: ended for i, ended in self.at_by_instance.items() if ended > at}
        self.at_by_instance[RAN_WELL] = at
        return True


class CrashEvidence:
    """Counts the ends under each work, and says which work is refused.

    Load pattern: one caller repeats a request that ends every backend server that begins to run
    it, a few times a second, through any node; each is away for some seconds and takes with it
    what runs beside. Sent on every time, it ended 25 backend servers of four in twelve sends. No
    single node sees enough of it, so reports of ends are told to all nodes of the service.

    Work is refused once three incarnations have ended under it and none has run it to a good end
    since the first. Ends of one incarnation count once, whoever tells of them. Where a whole data
    centre loses power the nodes that could tell of ends are gone too, so nothing is held against
    what ran there.

    Parameters
    ----------
    log : EventSink
        Gets a line for each work that is refused from now on, or no more.
    """

    def __init__(self, log: EventSink) -> None:
        self._log = log
        self._by_service: dict[ServiceName, dict[WorkId, _Suspect]] = {}
        # Told with each question between nodes, and seldom different.
        self._digest_by_service: dict[ServiceName, int] = {}
        self._on_refused: list[Callable[[ServiceName, WorkId], None]] = []

    def on_refused(self, listener: Callable[[ServiceName, WorkId], None]) -> None:
        """Have ``listener`` told of work that is refused from now on."""
        self._on_refused.append(listener)

    def __len__(self) -> int:
        return sum(len(suspects) for suspects in self._by_service.values())

    @property
    def refused(self) -> int:
        """Return how much work is refused."""
        suspects = (s for by_work in self._by_service.values() for s in by_work.values())
        return sum(suspect.is_refused for suspect in suspects)

    def suspects(self, service: ServiceName) -> bool:
        """Return whether anything is held against any work of a service."""
        return service in self._by_service

    def refused_for(self, service: ServiceName, work: WorkId, now: float) -> float:
        """Return for how many seconds some work is refused; 0 if it is not."""
        suspect = self._by_service.get(service, {}).get(work)
        if suspect is None or not suspect.is_refused:
            return 0.0
        return max(0.0, suspect.last_at + LIFE_SECONDS - now)

    def ended(self, service: ServiceName, work: WorkId, instance: InstanceId, now: float) -> None:
        """Note that an incarnation ended while it ran some work."""
        self._note(service, work, instance, now)

    def ran_well(self, service: ServiceName, work: WorkId, now: float) -> None:
        """Note that some work has run to a good end, so that it has not ended those before."""
        if work in self._by_service.get(service, {}):
            self._note(service, work, RAN_WELL, now)

    def merge(self, reports: Sequence[CrashReport], now: float) -> bool:
        """Take in what another node tells; return whether any of it is new."""
        if not reports:
            return False
        new = [
            self._note(report.service, report.work, report.instance, now - max(0.0, report.age))
            for report in reports
            if report.age < LIFE_SECONDS
        ]
        self._drop_old(now)
        return any(new)

    def reports(self, service: ServiceName, now: float) -> list[CrashReport]:
        """Return all that is held against work of a service."""
        self._drop_old(now)
        works = self._by_service.get(service, {})
        return [report for work in works for report in self.reports_of(service, work, now)]

    def all_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return all that is held against work of any service."""
        services = list(self._by_service)
        return tuple(report for service in services for report in self.reports(service, now))

    def reports_of(self, service: ServiceName, work: WorkId, now: float) -> Iterator[CrashReport]:
        """Yield what is held against some work."""
        suspect = self._by_service[service][work]
        for instance, at in suspect.at_by_instance.items():
            yield CrashReport(service, work, instance, max(0.0, now - at))

    def digest(self, service: ServiceName) -> int:
        """Return a number that is equal in two nodes that hold the same; 0 for nothing."""
        known = self._digest_by_service.get(service)
        if known is not None:
            return known
        found = 0
        for work, suspect in self._by_service.get(service, {}).items():
            for instance in suspect.at_by_instance:
                found ^= zlib.crc32(f"{work} {instance}".encode())
        self._digest_by_service[service] = found
        return found

    def _note(self, service: ServiceName, work: WorkId, instance: InstanceId, at: float) -> bool:
        works = self._by_service.setdefault(service, {})
        suspect = works.setdefault(work, _Suspect())
        if not suspect.note(instance, at):
            return False
        self._digest_by_service.pop(service, None)
        self._judge(service, work, suspect)
        self._make_room()
        return True

    def _judge(self, service: ServiceName, work: WorkId, suspect: _Suspect) -> None:
        was_refused = suspect.is_refused
        ends = suspect.ends
        suspect.is_refused = len(ends) >= ENDS_NEEDED
        if was_refused and not suspect.is_refused:
            self._log.event("work_cleared", service=service, work=work)
        if suspect.is_refused and not was_refused:
            self._log.event("work_refused", service=service, work=work, ended=ends)
            for listener in self._on_refused:
                listener(service, work)

    def _drop_old(self, now: float) -> None:
        for service, works in list(self._by_service.items()):
            kept = {w: s for w, s in works.items() if s.last_at > now - LIFE_SECONDS}
            if len(kept) < len(works):
                self._keep(service, kept)

    def _make_room(self) -> None:
        """Let go of work with the fewest ends, the oldest first, so that callers push out none."""
        if len(self) <= MAX_WORKS:
            return
        held = [
            (len(suspect.ends), suspect.last_at, service, work)
            for service, works in self._by_service.items()
            for work, suspect in works.items()
        ]
        _, _, service, work = min(held)
        kept = {w: s for w, s in self._by_service[service].items() if w != work}
        self._keep(service, kept)

    def _keep(self, service: ServiceName, works: dict[WorkId, _Suspect]) -> None:
        self._digest_by_service.pop(service, None)
        if works:
            self._by_service[service] = works
        else:
            del self._by_service[service]
