"""Headers between the ingress node of a request and the node of its backend server."""

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
FIELD_COUNT = 12
# The team is the last field, left out if the request has none.
FIELD_COUNT_WITH_TEAM = 13
MILLIS = 1000.0
PERCENT = 100.0
IDLE_SUFFIX = "i"


def wait_headers(seconds: float) -> list[Header]:
    """Return the headers by which a node announces how long it may keep a request waiting."""
    return [(WAIT_MS, b"%d" % round(seconds * MILLIS))]


def parse_wait_seconds(headers: list[Header]) -> float:
    """Return how many seconds a request may be kept waiting; 0 if no header says so."""
    for name, value in headers:
        if name == WAIT_MS and value.isdigit():
            return int(value) / MILLIS
    return 0.0


class Admission(Enum):
    """How the target node is to admit a request."""

    DIRECT = "d"
    """Admit it only if it can start at once and is likely to finish in time."""

    QUEUE = "q"
    """It may wait for a slot and may be executed slowly."""


@dataclass(frozen=True, slots=True)
class HopHeader:
    """What the ingress node sends along with a request that it forwards to another node.

    Attributes
    ----------
    service : ServiceName
        Service that is to run the request; a node of another service refuses it.
    caller_service : ServiceName
        Service of the backend server local to the ingress node.
    route : RouteName
        Matched route; the usual duration of requests is tracked by route.
    request_id : RequestId
        Id that the caller gave the request.
    admission : Admission
        Whether the request may wait for a slot.
    priority : int
        Rank; 0 is the most urgent.
    time_left : float
        Seconds until the deadline.
    target_left : float
        Seconds left of the target latency; negative once it is exceeded.
    configuration : int
        Configuration version in force at the sender.
    team : TeamName or None
        Team that sent the request, if known.
    arrival : Arrival
        What is known of the request's earlier tries.
    idle_observation : IdleObservation
        Whether the sender's local backend server was idle when the request arrived.
    by_repeat : float
        Probability that the request is a call made by the execution of a repeat, 0 to 1.
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
        """Return the value of the header, with times in whole milliseconds."""
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
            f"{IDLE_SUFFIX if self.idle_observation.is_idle else ''}",
            str(round(self.by_repeat * PERCENT)),
        ]
        if self.team is not None:
            parts.append(quote(self.team, safe=""))
        return " ".join(parts).encode("latin-1")

    @classmethod
    def decode(cls, value: bytes) -> HopHeader | None:
        """Return the decoded header, or None if the value is malformed."""
        parts = value.decode("latin-1").split(" ")
        if len(parts) not in (FIELD_COUNT, FIELD_COUNT_WITH_TEAM):
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
                idle_observation=_decode_idle_observation(parts[10]),
                by_repeat=int(parts[11]) / PERCENT,
                team=TeamName(unquote(parts[12])) if len(parts) == FIELD_COUNT_WITH_TEAM else None,
            )
        except ValueError:
            return None


def _decode_idle_observation(value: str) -> IdleObservation:
    is_idle = value.endswith(IDLE_SUFFIX)
    return IdleObservation(int(value.removesuffix(IDLE_SUFFIX)) / PERCENT, is_idle)
