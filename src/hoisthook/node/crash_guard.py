"""Restarts and crashes of the local backend server, and the refusal of work that causes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.identity import InstanceId
from hoisthook.identity import ServiceName
from hoisthook.local_backend.crash_monitor import CrashMonitor
from hoisthook.local_backend.exit_detector import ExitDetector
from hoisthook.local_backend.exit_detector import LostRequest
from hoisthook.retry.crash_evidence import CrashEvidence

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.identity import Address
    from hoisthook.identity import Incarnation
    from hoisthook.node.call import Call
    from hoisthook.node.call import Refused
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_sink import EventSink


class CrashGuard:
    """Attributes crashes of the local backend server to the calls that ran in it.

    Backend servers announce no incarnation here, only their uptime: a shorter uptime than in the
    previous announcement means that the backend server has been restarted.

    Parameters
    ----------
    pool : ClientPool
        Connections to the backend server.
    incarnation : Incarnation
        Of this node; part of the ids that it gives to the backend server's incarnations.
    clock : Clock
        Monotonic.
    log : EventSink
        Receives an event for each crash and for refused work.

    Attributes
    ----------
    evidence : CrashEvidence
        The crash evidence that all nodes share.
    """

    def __init__(
        self, pool: ClientPool, incarnation: Incarnation, clock: Clock, log: EventSink
    ) -> None:
        self.evidence = CrashEvidence(log)
        self._crash_monitor = CrashMonitor(ServiceName(""), self.evidence, clock)
        self._exit_detector = ExitDetector(
            lambda: self._address, pool, lambda: self._takes_work, clock, log
        )
        self._exit_detector.on_exit(self._crash_monitor.ended)
        self._clock = clock
        self._incarnation = incarnation
        self._address: Address = ("", 0)
        self._takes_work = False
        self._restarts = 0
        self._uptime = 0.0

    @property
    def instance(self) -> InstanceId:
        """Return the id of the backend server's current incarnation."""
        return InstanceId(f"{self._incarnation}/{self._restarts}")

    def on_crash_attributed(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called whenever a crash has been attributed to work."""
        self._crash_monitor.on_crash_attributed(listener)

    def close(self) -> None:
        """Stop the checks in progress."""
        self._exit_detector.close()

    def announced(self, service: str, address: Address, uptime: float, *, takes_work: bool) -> None:
        """Apply an announcement of the backend server."""
        self._crash_monitor.service = ServiceName(service)
        self._address = address
        if uptime < self._uptime:
            self._exit_detector.replaced()
            self._restarts += 1
        self._uptime = uptime
        self._takes_work = takes_work

    def refuse(self, call: Call) -> Refused | None:
        """Return a refusal if several backend servers have crashed while running this work."""
        return self._crash_monitor.refuse(call)

    def request_lost(self, call: Call, instance: InstanceId) -> None:
        """Record that the connection broke while a call ran."""
        self._exit_detector.request_lost(
            LostRequest(call.request_id, call.work, instance, self._clock.now())
        )

    def answered(self, instance: InstanceId, sent_at: float) -> None:
        """Record that an incarnation answered a request that was sent to it at ``sent_at``."""
        self._exit_detector.answered(instance, sent_at)

    def request_succeeded(self, call: Call) -> None:
        """Record that a call has succeeded."""
        self._crash_monitor.request_succeeded(call)
