"""How long requests of each route usually take at a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.admission.service_time import ServiceTime

if TYPE_CHECKING:
    from hoisthook.identity import RouteName

# A first guess, as a share of the target latency: targets leave room for slow moments.
WORK_SHARE_OF_TARGET = 0.3
# Work takes some time: what is left of a target may be nothing, or less.
MIN_WORK_SECONDS = 0.001
# And of how much it varies, as a share of itself.
SPREAD_SHARE_OF_WORK = 0.25
# A mean of so few answers is nearer than the guess; a node knows none after its restart, which is
# when forecasts matter most.
WARM_COUNT = 4


class WorkTimes:
    """Learned from answers, with the slowdown at their start taken out."""

    def __init__(self) -> None:
        self._time_by_route: dict[RouteName, ServiceTime] = {}

    def usual(self, route: RouteName, target_latency: float) -> float:
        """Return the seconds that a request of a route takes where work is not slowed."""
        known = self._time_by_route.get(route)
        if known is None or not known.known:
            return max(MIN_WORK_SECONDS, target_latency * WORK_SHARE_OF_TARGET)
        return max(MIN_WORK_SECONDS, known.typical)

    def spread(self, route: RouteName, target_latency: float) -> float:
        """Return the mean deviation of those seconds."""
        known = self._time_by_route.get(route)
        if known is None or not known.known:
            return self.usual(route, target_latency) * SPREAD_SHARE_OF_WORK
        return known.deviation

    def is_known(self, route: RouteName) -> bool:
        """Return whether a route's requests have been seen often enough to judge by."""
        known = self._time_by_route.get(route)
        return known is not None and known.known

    def learn(self, route: RouteName, seconds: float, slowdown: float) -> None:
        """Take in how long a request took that began at some slowdown."""
        self._time_by_route.setdefault(route, ServiceTime(WARM_COUNT)).add(
            seconds / max(1.0, slowdown)
        )
