"""Which route's requests at a backend server make the calls that come from it."""

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

# Requests of a route that are judged by; beyond them the counts are halved, so that a change in
# who calls what is learned within some 200 calls.
MIN_SEEN = 16
MAX_SEEN = 64
# A call comes while the request that makes it runs; one in so many may come just after its end,
# when that was given up.
MADE_SHARE = 0.97
# Where a route's requests run this often whatever arrives, nothing can be told by them.
MAX_USUAL_SHARE = 0.85


@dataclass(frozen=True, slots=True, eq=False)
class RunningRequest:
    """A request that runs at the backend server beside.

    Attributes
    ----------
    request_id : RequestId
        The caller's.
    route : RouteName
        Its route.
    priority : int
        Rank; 0 is the most urgent.
    repeat : float
        Chance that its run is a repeat: of an earlier try, or of the run that calls it.
    """

    request_id: RequestId
    route: RouteName
    priority: int
    repeat: float = 0.0


@dataclass(slots=True)
class _Seen:
    """How often each route's requests ran when one of some route arrived."""

    arrivals: float = 0.0
    running_by_route: dict[RouteName, float] = field(default_factory=dict)

    def note(self, running: set[RouteName]) -> None:
        self.arrivals += 1.0
        for route in running:
            self.running_by_route[route] = self.running_by_route.get(route, 0.0) + 1.0
        if self.arrivals >= MAX_SEEN:
            self.arrivals /= 2.0
            self.running_by_route = {r: count / 2.0 for r, count in self.running_by_route.items()}

    def share(self, route: RouteName) -> float:
        """Return how often a route's requests ran; 1 while too little is known."""
        if self.arrivals < MIN_SEEN:
            return 1.0
        return self.running_by_route.get(route, 0.0) / self.arrivals


class RunningRequests:
    """Finds the request for which the backend server beside makes a call.

    Load pattern: a service is short of room, by a cold start or a burst, and gets calls on which
    longer requests wait as well as requests of its own. A call bears the rank of its own route
    only; turned away, it takes with it the work spent on the request above it. So it is admitted
    with the rank of that request where that is the more urgent.

    Nothing in a call names the request that makes it, but it comes only while that one runs.
    Which route makes which calls is learned from what runs when they arrive, beside what runs
    when other requests do.

    Parameters
    ----------
    clock : Clock
        Monotonic.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle = IdleTracker(clock.now())
        self._running: set[RunningRequest] = set()
        self._seen_by_route: dict[RouteName, _Seen] = {}

    def begin(self, running: RunningRequest) -> None:
        """Note that a request is sent to the backend server."""
        if not self._running:
            self._idle.set_idle(self._clock.now(), is_idle=False)
        self._running.add(running)

    def end(self, running: RunningRequest) -> None:
        """Note that it runs no more."""
        self._running.discard(running)
        if not self._running:
            self._idle.set_idle(self._clock.now(), is_idle=True)

    def reported(self, running: int) -> None:
        """Take in how many requests the backend server says that it has."""
        if running == 0:
            self._idle.confirm_idle(self._clock.now())

    def idle_observation(self) -> IdleObservation:
        """Return whether anything runs at this moment, and how often nothing does."""
        return self._idle.idle_observation(self._clock.now())

    def arrived(self, route: RouteName) -> None:
        """Learn from what runs at the moment at which a request of a route arrives here."""
        running = {request.route for request in self._running}
        self._seen_by_route.setdefault(route, _Seen()).note(running)

    def parent_of(self, route: RouteName) -> RunningRequest | None:
        """Return the most urgent request that may have made a call of a route, or None."""
        return min(self._makers(route), key=lambda request: request.priority, default=None)

    def repeated(self, route: RouteName) -> float:
        """Return the chance that a request of a route is a call of a run that is a repeat.

        All that run are taken for its maker alike where it is not known which routes make it.
        """
        if not any(request.repeat for request in self._running):
            return 0.0
        makers = self._makers(route) or self._running
        return sum(request.repeat for request in makers) / max(1, len(makers))

    def _makers(self, route: RouteName) -> list[RunningRequest]:
        return [request for request in self._running if self._makes(request.route, route)]

    def _makes(self, parent: RouteName, called: RouteName) -> bool:
        seen = self._seen_by_route.get(called)
        if seen is None or seen.arrivals < MIN_SEEN or seen.share(parent) < MADE_SHARE:
            return False
        others = (other for route, other in self._seen_by_route.items() if route != called)
        return any(other.share(parent) <= MAX_USUAL_SHARE for other in others)
