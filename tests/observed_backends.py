"""Creates the observed state of a backend server without a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.mesh.observed_backend import ObservedBackend
from hoisthook.mesh.service_evidence import ServiceEvidence
from standin.mesh_system import ListLog
from tests.fakes import FakeClock

if TYPE_CHECKING:
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog


def make_observed_backend(
    log: EventLog | None = None, *, reuse_after: float = 0.0, clock: Clock | None = None
) -> ObservedBackend:
    """Return the state of a backend server of which nothing is known."""
    return ObservedBackend(ServiceEvidence(reuse_after, clock or FakeClock()), log or ListLog())
