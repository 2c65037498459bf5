"""Holds the ends of the backend server beside against the work that ran in it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.local_backend.successful_runs import SuccessfulRuns
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode
from hoisthook.retry.crash_evidence import MAX_WORKS

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.identity import ServiceName
    from hoisthook.identity import WorkId
    from hoisthook.local_backend.exit_detector import LostRequest
    from hoisthook.port.clock import Clock
    from hoisthook.retry.crash_evidence import CrashEvidence

# Good runs of larger bodies are remembered only while something is held against work of the
# service: the identity of a request takes 4 microseconds, and 2.4 ms for each MB of its body.
MAX_REMEMBERED_BYTES = 16_384


class KnownWork(Protocol):
    """A request, as far as its work is concerned."""

    @property
    def body(self) -> bytes:
        """Return what is there of its body."""

    @property
    def is_complete(self) -> bool:
        """Return whether that is all of it."""

    @property
    def work(self) -> WorkId:
        """Return what it asks for."""


class CrashMonitor:
    """Reports work under which the backend server beside ended, and refuses what ended several.

    Parameters
    ----------
    service : ServiceName
        Of the backend server beside.
    evidence : CrashEvidence
        What all nodes of the service know.
    clock : Clock
        Monotonic.

    Attributes
    ----------
    service : ServiceName
        May be known only once the backend server has announced itself.
    """

    def __init__(self, service: ServiceName, evidence: CrashEvidence, clock: Clock) -> None:
        self.service = service
        self._evidence = evidence
        self._clock = clock
        self._successful_runs = SuccessfulRuns()
        self._blamed: set[WorkId] = set()
        self._listeners: list[Callable[[], None]] = []

    def on_reported(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called once an end has been held against work."""
        self._listeners.append(listener)

    def has_blamed(self, work: WorkId) -> bool:
        """Return whether the backend server beside has ended under some work."""
        return work in self._blamed

    def ended(self, lost: list[LostRequest]) -> None:
        """Take in what ran in the backend server as it ended."""
        now = self._clock.now()
        blamed = [run for run in lost if run.work not in self._successful_runs]
        if len(self._blamed) > MAX_WORKS:
            self._blamed.clear()
        self._blamed.update(run.work for run in blamed)
        for run in blamed:
            self._evidence.ended(self.service, run.work, run.instance, now)
        self._successful_runs.forget()
        if blamed:
            for listener in self._listeners:
                listener()

    def ran_well(self, call: KnownWork) -> None:
        """Take in that a request has run to a good end."""
        is_large = len(call.body) > MAX_REMEMBERED_BYTES
        if is_large and not self._evidence.has_evidence(self.service):
            return
        self._successful_runs.note(call.work)
        self._evidence.ran_well(self.service, call.work, self._clock.now())

    def refuse(self, call: KnownWork) -> Refused | None:
        """Refuse a request that asks for work under which several backend servers ended.

        What cannot run without harm is refused before it has a slot: it would take the server and
        all that runs there with it.
        """
        if not call.is_complete or not self._evidence.has_evidence(self.service):
            return None
        seconds = self._evidence.rejected_for(self.service, call.work, self._clock.now())
        return Refused(ResultCode.WORK_ENDS_SERVERS, seconds) if seconds > 0 else None
