"""Log records of admission decisions at the local backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.admission.admitter import AdmittedRequest
    from hoisthook.admission.priority_gate import PriorityGate
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.mesh.hop_header import Admission
    from hoisthook.mesh.observed_backend import ObservedBackend
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.node.call import Refused
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog


class AdmissionLogger:
    """Logs admission decisions together with the state on which they were based.

    Parameters
    ----------
    gate : PriorityGate
        Slots of the backend server and the queue for them.
    speed : ServerSpeed
        Expected service times and slow periods of the backend server.
    observed_backend : ObservedBackend
        State of the backend server.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives the records.
    """

    def __init__(
        self,
        gate: PriorityGate,
        speed: ServerSpeed,
        observed_backend: ObservedBackend,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._gate = gate
        self._speed = speed
        self._observed_backend = observed_backend
        self._clock = clock
        self._log = log

    def admitted(self, call: RoutedCall, admitted_request: AdmittedRequest) -> None:
        """Log that a request got a slot."""
        now = self._clock.now()
        slow_periods = self._speed.slow_periods
        self._log.decision(
            "admitted",
            request=call.request_id,
            waited_ms=round((now - call.received) * 1000.0, 1),
            priority=call.priority,
            running=self._gate.running,
            slowdown=admitted_request.slowdown,
            base=slow_periods.base,
            pace=round(self._speed.pace(now), 2),
            load_age_ms=round(slow_periods.age(now) * 1000.0, 1),
            may_be_wrong=round(slow_periods.chance_of_change(now), 3),
            cold=self._gate.cold.is_cold(now),
        )

    def refused(self, call: RoutedCall, admission: Admission, refused: Refused) -> None:
        """Log that a request was rejected."""
        now = self._clock.now()
        self._log.decision(
            "not_admitted",
            request=call.request_id,
            code=refused.code.number,
            admission=admission.name.lower(),
            priority=call.priority,
            running=self._gate.running,
            waiting=self._gate.waiting,
            limit=self._gate.limit,
            slowdown=self._speed.slowdown,
            pace=round(self._speed.pace(now), 2),
            load_age_ms=round(self._speed.slow_periods.age(now) * 1000.0, 1),
            state=self._observed_backend.state.value,
            cold=self._gate.cold.is_cold(now),
        )
