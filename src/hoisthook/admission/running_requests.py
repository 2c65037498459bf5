"""Infers which running request at a backend server made a call that comes from it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from hoisthook.retry.idle_tracker import IdleTracker

if TYPE_CHECKING:
    from hoisthook.identity import RequestId
    from hoisthook.identity import RouteName
    from hoisthook.port.clock import Clock
    from hoisthook.retry.idle_tracker import IdleObservation

# Arrivals of a route before its statistics are used, and the number at which they are halved, so
# that a change in which route calls which is learned within some 200 calls.
MIN_ARRIVALS = 16
MAX_ARRIVALS = 64
# A call arrives while its parent request runs, so requests of the parent's route must run at this
# share of the call's arrivals. The rest allows for calls that arrive just after their parent was
# abandoned.
MIN_PARENT_SHARE = 0.97
# A route can be the parent's only if, at the arrivals of some other route, its requests run in no
# more than this share; otherwise they run nearly all the time and show nothing about calls.
MAX_UNRELATED_SHARE = 0.85


@dataclass(frozen=True, slots=True, eq=False)
class RunningRequest:
    """A request that runs at the local backend server.

    Attributes
    ----------
    request_id : RequestId
        Id that the caller gave the request.
    route : RouteName
        Route of the request.
    priority : int
        Rank; 0 is the most urgent.
    repeat : float
        Probability, 0 to 1, that it is a repeat: of an earlier attempt, or because its parent is.
    """

    request_id: RequestId
    route: RouteName
    priority: int
    repeat: float = 0.0


@dataclass(slots=True)
class _ArrivalStats:
    """How often requests of each route ran when requests of one route arrived."""

    arrivals: float = 0.0
    running_by_route: dict[RouteName, float] = field(default_factory=dict)

    def note(self, running: set[RouteName]) -> None:
        self.arrivals += 1.0
        for route in running:
            self.running_by_route[route] = self.running_by_route.get(route, 0.0) + 1.0
        if self.arrivals >= MAX_ARRIVALS:
            self.arrivals /= 2.0
            self.running_by_route = {r: count / 2.0 for r, count in self.running_by_route.items()}

    def share(self, route: RouteName) -> float:
        """Return the share of arrivals at which ``route`` ran; 1 before `MIN_ARRIVALS`."""
        if self.arrivals < MIN_ARRIVALS:
            return 1.0
        return self.running_by_route.get(route, 0.0) / self.arrivals


class RunningRequests:
    """Finds the request on whose behalf the local backend server makes a call.

    Load pattern: a service lacks capacity, because of a cold start or a burst, and receives calls
    on which longer requests depend as well as requests of its own. A call has the rank of its own
    route only, and its rejection wastes the work already done for its parent request. It is
    therefore admitted with the rank of its parent if that is more urgent.

    A call does not name its parent, but it is made only while the parent runs. Which route makes
    which calls is learned from the routes that run when the calls arrive, compared with those that
    run when other requests arrive.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle_tracker = IdleTracker(clock.now())
        self._running: set[RunningRequest] = set()
        self._stats_by_route: dict[RouteName, _ArrivalStats] = {}

    def begin(self, running: RunningRequest) -> None:
        """Record that a request is sent to the backend server."""
        if not self._running:
            self._idle_tracker.set_idle(self._clock.now(), is_idle=False)
        self._running.add(running)

    def end(self, running: RunningRequest) -> None:
        """Record that a request runs no longer."""
        self._running.discard(running)
        if not self._running:
            self._idle_tracker.set_idle(self._clock.now(), is_idle=True)

    def reported(self, running: int) -> None:
        """Record how many running requests the backend server reports."""
        if running == 0:
            self._idle_tracker.confirm_idle(self._clock.now())

    def idle_observation(self) -> IdleObservation:
        """Return whether the backend server is idle now, and how often it is."""
        return self._idle_tracker.idle_observation(self._clock.now())

    def arrived(self, route: RouteName) -> None:
        """Learn from the requests that run when a request of a route arrives at this node."""
        running = {request.route for request in self._running}
        self._stats_by_route.setdefault(route, _ArrivalStats()).note(running)

    def parent_of(self, route: RouteName) -> RunningRequest | None:
        """Return the most urgent request that may be the parent of a call of a route, or None."""
        return min(self._candidates(route), key=lambda request: request.priority, default=None)

    def repeat_probability(self, route: RouteName) -> float:
        """Return the probability that a call of a route was made by a request that is a repeat.

        That is the mean over the possible parents: the requests whose route is known to make such
        calls or, where none is known, all running requests.
        """
        if not any(request.repeat for request in self._running):
            return 0.0
        candidates = self._candidates(route) or self._running
        return sum(request.repeat for request in candidates) / max(1, len(candidates))

    def _candidates(self, route: RouteName) -> list[RunningRequest]:
        return [request for request in self._running if self._may_call(request.route, route)]

    def _may_call(self, parent: RouteName, called: RouteName) -> bool:
        stats = self._stats_by_route.get(called)
        if stats is None or stats.arrivals < MIN_ARRIVALS or stats.share(parent) < MIN_PARENT_SHARE:
            return False
        others = (other for route, other in self._stats_by_route.items() if route != called)
        return any(other.share(parent) <= MAX_UNRELATED_SHARE for other in others)
