"""Attributes crashes of the local backend server to the work it was executing."""

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

# Successful requests with larger bodies are recorded only while some work of the service is
# suspected: computing a work id takes 4 microseconds, plus 2.4 ms for each MB of body.
MAX_RECORDED_BODY_BYTES = 16_384


class WorkRequest(Protocol):
    """The parts of a request that identify its work."""

    @property
    def body(self) -> bytes:
        """Return the part of the body that has been received."""

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body has been received."""

    @property
    def work(self) -> WorkId:
        """Return the id of what the request asks for, which is the same for each repeat of it."""


class CrashMonitor:
    """Records crashes of the local backend server and rejects work that has caused several.

    Parameters
    ----------
    service : ServiceName
        Service of the local backend server.
    evidence : CrashEvidence
        Crash reports shared by all nodes of the service.
    clock : Clock
        Monotonic.

    Attributes
    ----------
    service : ServiceName
        Service of the local backend server; on some nodes it is set only once the backend server
        has announced itself.
    """

    def __init__(self, service: ServiceName, evidence: CrashEvidence, clock: Clock) -> None:
        self.service = service
        self._evidence = evidence
        self._clock = clock
        self._successful_runs = SuccessfulRuns()
        self._crashed_under: set[WorkId] = set()
        self._listeners: list[Callable[[], None]] = []

    def on_crash_attributed(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called after a crash has been attributed to work."""
        self._listeners.append(listener)

    def has_crashed_under(self, work: WorkId) -> bool:
        """Return whether the local backend server has crashed while it executed some work."""
        return work in self._crashed_under

    def ended(self, lost_requests: list[LostRequest]) -> None:
        """Attribute a crash to the requests that the backend server was executing.

        Work that the same incarnation has already executed successfully is left out.
        """
        now = self._clock.now()
        has_evidence = [lost for lost in lost_requests if lost.work not in self._successful_runs]
        if len(self._crashed_under) > MAX_WORKS:
            self._crashed_under.clear()
        self._crashed_under.update(lost.work for lost in has_evidence)
        for lost in has_evidence:
            self._evidence.ended(self.service, lost.work, lost.instance, now)
        self._successful_runs.clear()
        if has_evidence:
            for listener in self._listeners:
                listener()

    def request_succeeded(self, call: WorkRequest) -> None:
        """Record that a request was executed successfully."""
        is_large = len(call.body) > MAX_RECORDED_BODY_BYTES
        if is_large and not self._evidence.has_evidence(self.service):
            return
        self._successful_runs.add(call.work)
        self._evidence.ran_well(self.service, call.work, self._clock.now())

    def refuse(self, call: WorkRequest) -> Refused | None:
        """Return a refusal if several backend servers have crashed under the request's work.

        Such a request is rejected before it gets a slot, since it would crash the backend server
        together with all other requests running there.
        """
        if not call.is_complete or not self._evidence.has_evidence(self.service):
            return None
        seconds = self._evidence.rejected_for(self.service, call.work, self._clock.now())
        return Refused(ResultCode.WORK_ENDS_SERVERS, seconds) if seconds > 0 else None
