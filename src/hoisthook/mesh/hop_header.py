"""The headers between the node that took a request and the node beside its backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import unquote

from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.identity import TeamName
from hoisthook.retry.arrival import Arrival
from hoisthook.retry.idle_tracker import UNKNOWN
from hoisthook.retry.idle_tracker import IdleObservation

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header

HOP = b"hoisthook-hop"
LOAD = b"hoisthook-load"
RESULT = b"hoisthook-result"
RETRY_AFTER_MS = b"hoisthook-retry-after-ms"
WAIT_MS = b"hoisthook-wait-ms"
FIELDS = 12
# The last one is left out where no team asks.
FIELDS_WITH_TEAM = 13
MILLIS = 1000.0
PERCENT = 100.0
IDLE = "i"


def wait_headers(seconds: float) -> list[Header]:
    """Return what a node says that keeps a request waiting for some time."""
    return [(WAIT_MS, b"%d" % round(seconds * MILLIS))]


def wait_of(headers: list[Header]) -> float:
    """Return for how many seconds a request may be kept waiting; 0 if nothing is said."""
    for name, value in headers:
        if name == WAIT_MS and value.isdigit():
            return int(value) / MILLIS
    return 0.0


class Admission(Enum):
    """How a node beside a backend server is to admit a request."""

    DIRECT = "d"
    """Only if it starts at once and is likely to end in time."""

    QUEUE = "q"
    """It may wait for a slot, and may run slowly."""


@dataclass(frozen=True, slots=True)
class HopHeader:
    """What a node says of a request that it hands to another; times in seconds.

    Attributes
    ----------
    service : ServiceName
        Who is to run it; a node beside another service refuses.
    caller_service : ServiceName
        The service beside which the request began.
    route : RouteName
        By which its usual duration is learned.
    request_id : RequestId
        The caller's.
    admission : Admission
        Whether it may wait.
    priority : int
        Rank; 0 is the most urgent.
    time_left : float
        Until its deadline.
    target_left : float
        Until its target latency is over.
    configuration : int
        Version in force at the sender.
    team : TeamName or None
        Who asks, if that is known.
    arrival : Arrival
        What is known of its earlier tries.
    idle_observation : IdleObservation
        What ran beside the sender when it came.
    by_repeat : float
        Chance that it is a call of a run that is a repeat itself.
    """

    service: ServiceName
    caller_service: ServiceName
    route: RouteName
    request_id: RequestId
    admission: Admission
    priority: int
    time_left: float
    target_left: float
    configuration: int
    team: TeamName | None = None
    arrival: Arrival = Arrival.FIRST
    idle_observation: IdleObservation = UNKNOWN
    by_repeat: float = 0.0

    def encode(self) -> bytes:
        """Return the header's value; times in whole milliseconds."""
        parts = [
            self.service,
            self.caller_service,
            self.route,
            self.request_id,
            self.admission.value,
            str(self.priority),
            str(round(self.time_left * MILLIS)),
            str(round(self.target_left * MILLIS)),
            str(self.configuration),
            self.arrival.value,
            f"{round(self.idle_observation.share * PERCENT)}"
            f"{IDLE if self.idle_observation.is_idle else ''}",
            str(round(self.by_repeat * PERCENT)),
        ]
        if self.team is not None:
            parts.append(quote(self.team, safe=""))
        return " ".join(parts).encode("latin-1")

    @classmethod
    def decode(cls, value: bytes) -> HopHeader | None:
        """Return the header, or None if the value is none."""
        parts = value.decode("latin-1").split(" ")
        if len(parts) not in (FIELDS, FIELDS_WITH_TEAM):
            return None
        try:
            return cls(
                service=ServiceName(parts[0]),
                caller_service=ServiceName(parts[1]),
                route=RouteName(parts[2]),
                request_id=RequestId(parts[3]),
                admission=Admission(parts[4]),
                priority=int(parts[5]),
                time_left=int(parts[6]) / MILLIS,
                target_left=int(parts[7]) / MILLIS,
                configuration=int(parts[8]),
                arrival=Arrival(parts[9]),
                idle_observation=_idle_observation(parts[10]),
                by_repeat=int(parts[11]) / PERCENT,
                team=TeamName(unquote(parts[12])) if len(parts) == FIELDS_WITH_TEAM else None,
            )
        except ValueError:
            return None


def _idle_observation(value: str) -> IdleObservation:
    is_idle = value.endswith(IDLE)
    return IdleObservation(int(value.removesuffix(IDLE)) / PERCENT, is_idle)
