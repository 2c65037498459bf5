"""A request that has been routed to a service."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from hoisthook.retry.arrival import Arrival
from hoisthook.retry.idle_tracker import UNKNOWN
from hoisthook.retry.idle_tracker import IdleObservation
from hoisthook.retry.work_identity import identify

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header
    from hoisthook.identity import RequestId
    from hoisthook.identity import RouteName
    from hoisthook.identity import ServiceName
    from hoisthook.identity import TeamName
    from hoisthook.identity import WorkId


@dataclass
class RoutedCall:
    """One request with everything that routing and admission decisions depend on.

    Times are in seconds on the clock of the node that holds the object.

    Attributes
    ----------
    request_id : RequestId
        Id that the caller gave the request.
    route : RouteName
        Matched route; the usual duration of requests is tracked by route.
    service : ServiceName
        Service that is to run the request.
    caller_service : ServiceName
        Service of the backend server local to the ingress node.
    method, target : bytes
        Method and request target as the caller sent them.
    headers : list of Header
        End-to-end headers, without those that the system sets.
    body : bytes
        Complete body.
    received : float
        When this node received the request.
    deadline : float
        Time after which an answer is useless.
    target_latency : float
        Seconds from ``received`` within which the request should be answered.
    priority : int
        Rank; 0 is the most urgent.
    repeatable : bool
        Whether the request may be executed more than once.
    max_attempts : int
        Maximum number of backend servers that may execute the request.
    team : TeamName or None
        Team that sent the request; None if teams are not configured or the team is not known.
    parent : RequestId or None
        Request at the ingress node's local backend server that made this one as a call, if any.
    arrival : Arrival
        What is known of the request's earlier tries.
    idle_observation : IdleObservation
        Whether the ingress node's local backend server was idle when the request arrived; tells
        callers' requests from calls that a running request made.
    by_repeat : float
        Probability that the request is a call made by the execution of a repeat, 0 to 1.
    held_back : bool
        Whether the end of the request is sent only after a node has asked for it
        (``100-continue``), so that no other node can execute it.
    is_complete : bool
        Whether the body has been received; false at the target node until it has asked for the
        body of a request that is held back.
    """

    request_id: RequestId
    route: RouteName
    service: ServiceName
    caller_service: ServiceName
    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    received: float
    deadline: float
    target_latency: float
    priority: int
    repeatable: bool
    max_attempts: int
    team: TeamName | None = None
    parent: RequestId | None = None
    arrival: Arrival = Arrival.FIRST
    idle_observation: IdleObservation = UNKNOWN
    by_repeat: float = 0.0
    held_back: bool = False
    is_complete: bool = True

    def __post_init__(self) -> None:
        if not self.repeatable or self.max_attempts <= 1:
            self.held_back = True

    @cached_property
    def work(self) -> WorkId:
        """Return an id of the content of the request, equal for all requests for the same work."""
        return identify(self.method, self.headers, self.target, self.body)

    @property
    def repeat(self) -> float:
        """Return the probability that its execution is a repeat, whose calls count as repeats."""
        return 1.0 if self.arrival.is_repeat else self.by_repeat

    def time_left(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now

    def target_left(self, now: float) -> float:
        """Return the seconds left of the target latency; negative once it is exceeded."""
        return self.received + self.target_latency - now
