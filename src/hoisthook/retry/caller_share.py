"""Estimates which share of a route's requests are sent by callers, not by backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import RouteName
    from hoisthook.retry.idle_tracker import IdleObservation

# Share of the estimated number of callers' requests that is counted.
CALLER_WEIGHT_FACTOR = 0.9
# Expected idle observations that a new route starts with, none of them idle, so that its requests
# are at first taken for calls of backend servers.
PRIOR_EXPECTED = 1.0
# Expected idle observations above which both counts are halved, so that the estimate adapts.
MAX_EXPECTED = 50.0


@dataclass(slots=True)
class _IdleCounts:
    idle: float = 0.0
    expected: float = 0.0


class CallerShares:
    """Learns the share of callers' requests per route from the idle time at their ingress nodes.

    Load pattern: half of a service's requests are calls of other services, and it rejects most
    requests. The repeat budget grows with the requests of callers, and nothing in a request tells
    whether a caller or a backend server has sent it.

    A backend server makes calls only while it executes something, so calls never arrive at its
    node while it is idle. Callers do not know whether it is idle: the share of their requests
    that arrive while it is equals the share of time for which it is. A route's share of callers'
    requests is thus the number of its requests that arrived at an idle node, divided by the
    number expected if callers had sent them all. Where the backend server is almost never idle
    neither count grows, and the earlier estimate stays in force.
    """

    def __init__(self) -> None:
        self._counts_by_route: dict[RouteName, _IdleCounts] = {}

    def learn(self, route: RouteName, idle_observation: IdleObservation) -> None:
        """Record what was observed when a request of a route arrived at its ingress node."""
        if idle_observation.share <= 0:
            return
        counts = self._counts_by_route.setdefault(route, _IdleCounts())
        counts.expected += idle_observation.share
        counts.idle += idle_observation.is_idle
        if counts.expected > MAX_EXPECTED:
            counts.expected /= 2.0
            counts.idle /= 2.0

    def share(self, route: RouteName) -> float:
        """Return the estimated share of a route's requests that callers send; 0 if not known."""
        counts = self._counts_by_route.get(route)
        if counts is None:
            return 0.0
        return min(1.0, counts.idle / (counts.expected + PRIOR_EXPECTED))

    def caller_weight(self, route: RouteName) -> float:
        """Return the weight of a request of a route in the count of callers' requests."""
        return CALLER_WEIGHT_FACTOR * self.share(route)
