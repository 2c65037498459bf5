"""A request on its way along its route."""

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
    """One request with all that decides about it; times are on the node's clock.

    Attributes
    ----------
    request_id : RequestId
        The caller's.
    route : RouteName
        By which its usual duration is learned.
    service : ServiceName
        Who is to run it.
    caller_service : ServiceName
        The service beside which it began.
    method, target : bytes
        As the caller sent them.
    headers : list of Header
        End to end, without those that the system sets.
    body : bytes
        Whole.
    received : float
        When the first node took it up.
    deadline : float
        When its answer is of no use any more.
    target_latency : float
        Seconds from ``received`` within which an answer has its full worth.
    priority : int
        Rank; 0 is the most urgent.
    repeatable : bool
        Whether it may run more than once.
    max_attempts : int
        Backend servers that it may be sent to, at most.
    team : TeamName or None
        Who asks; None where teams are not told apart or none is known.
    parent : RequestId or None
        The request that runs beside the first node and makes this one, if any does.
    arrival : Arrival
        What is known of its earlier tries.
    idle_observation : IdleObservation
        What ran beside the first node when it came, by which callers' requests are told from calls.
    by_repeat : float
        Chance that it is a call of a run that is a repeat itself.
    held_back : bool
        Whether its end is sent only to a node that has asked for it, so that it runs nowhere
        else.
    is_complete : bool
        Whether its body is here; false beside a backend server until one that is held back has
        been asked for.
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
        """Return what it asks for; the same whenever and under whatever id it comes."""
        return identify(self.method, self.headers, self.target, self.body)

    @property
    def repeat(self) -> float:
        """Return the chance that its run is a repeat, whose calls are repeats where they go."""
        return 1.0 if self.arrival.is_repeat else self.by_repeat

    def time_left(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now

    def target_left(self, now: float) -> float:
        """Return the seconds until the target latency is over; negative after it."""
        return self.received + self.target_latency - now
