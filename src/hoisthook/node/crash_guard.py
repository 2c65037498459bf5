"""Lives and ends of the backend server beside, and the work that is refused for them."""

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
    """Holds ends of the backend server beside against the calls that ran in it.

    Backend servers announce no id of their lives here, only for how long they have run: one that
    has run for less than before has been started again.

    Parameters
    ----------
    pool : ClientPool
        Connections to the backend server.
    incarnation : Incarnation
        Of this node, in the names of the lives that it sees.
    clock : Clock
        Monotonic.
    log : EventSink
        Gets a line for each end and for work that is refused.

    Attributes
    ----------
    evidence : CrashEvidence
        What all nodes know.
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
        self._life = 0
        self._uptime = 0.0

    @property
    def instance(self) -> InstanceId:
        """Return the name of the present life of the backend server."""
        return InstanceId(f"{self._incarnation}/{self._life}")

    def on_crash_attributed(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called once an end has been held against work."""
        self._crash_monitor.on_crash_attributed(listener)

    def close(self) -> None:
        """Stop what is under way."""
        self._exit_detector.close()

    def announced(self, service: str, address: Address, uptime: float, *, takes_work: bool) -> None:
        """Take in an announcement of the backend server."""
        self._crash_monitor.service = ServiceName(service)
        self._address = address
        if uptime < self._uptime:
            self._exit_detector.replaced()
            self._life += 1
        self._uptime = uptime
        self._takes_work = takes_work

    def refuse(self, call: Call) -> Refused | None:
        """Refuse a call for work under which several backend servers ended."""
        return self._crash_monitor.refuse(call)

    def lost(self, call: Call, instance: InstanceId) -> None:
        """Take in that the connection broke while a call ran."""
        self._exit_detector.request_lost(
            LostRequest(call.request_id, call.work, instance, self._clock.now())
        )

    def answered(self, instance: InstanceId, sent_at: float) -> None:
        """Take in that a life answered what was sent to it at some moment."""
        self._exit_detector.answered(instance, sent_at)

    def request_succeeded(self, call: Call) -> None:
        """Take in that a call has run to a good end."""
        self._crash_monitor.request_succeeded(call)
