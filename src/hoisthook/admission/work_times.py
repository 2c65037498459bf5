"""Expected service times of the routes of a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.admission.service_time import ServiceTime

if TYPE_CHECKING:
    from hoisthook.identity import RouteName

# First estimate, as a share of the target latency: targets leave a margin for slow periods.
WORK_SHARE_OF_TARGET = 0.3
# Lower bound, since the time left of a target may be zero or negative.
MIN_WORK_SECONDS = 0.001
# First estimate of the mean deviation, as a share of the expected service time.
SPREAD_SHARE_OF_WORK = 0.25
# Samples from which the mean is used instead of the first estimate. Even the mean of so few is
# closer, and a node has none after its restart, when forecasts matter most.
WARM_COUNT = 4


class WorkTimes:
    """Learns service times from answers, corrected for the slowdown at their start."""

    def __init__(self) -> None:
        self._service_time_by_route: dict[RouteName, ServiceTime] = {}

    def usual(self, route: RouteName, target_latency: float) -> float:
        """Return the expected service time of a route at full speed, in seconds."""
        service_time = self._service_time_by_route.get(route)
        if service_time is None or not service_time.known:
            return max(MIN_WORK_SECONDS, target_latency * WORK_SHARE_OF_TARGET)
        return max(MIN_WORK_SECONDS, service_time.typical)

    def spread(self, route: RouteName, target_latency: float) -> float:
        """Return the mean deviation of the service time of a route, in seconds."""
        service_time = self._service_time_by_route.get(route)
        if service_time is None or not service_time.known:
            return self.usual(route, target_latency) * SPREAD_SHARE_OF_WORK
        return service_time.deviation

    def is_known(self, route: RouteName) -> bool:
        """Return whether there are enough samples of a route to rely on."""
        service_time = self._service_time_by_route.get(route)
        return service_time is not None and service_time.known

    def learn(self, route: RouteName, seconds: float, slowdown: float) -> None:
        """Add the service time of a request that started at the given slowdown factor."""
        self._service_time_by_route.setdefault(route, ServiceTime(WARM_COUNT)).add(
            seconds / max(1.0, slowdown)
        )
