"""How long requests of each route usually take at the backend server beside."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.admission.service_time import ServiceTime

if TYPE_CHECKING:
    from hoisthook.identity import RouteName
    from hoisthook.mesh.routed_call import RoutedCall

# A first guess, as a share of the target latency: targets leave room for slow moments.
WORK_SHARE_OF_TARGET = 0.3


class WorkTimes:
    """Learned from answers, with the slowdown at their start taken out."""

    def __init__(self) -> None:
        self._time_by_route: dict[RouteName, ServiceTime] = {}

    def usual(self, call: RoutedCall) -> float:
        """Return the seconds that a request like this takes where work is not slowed."""
        known = self._time_by_route.get(call.route)
        if known is None or not known.known:
            return call.target_latency * WORK_SHARE_OF_TARGET
        return known.typical

    def learn(self, call: RoutedCall, seconds: float, slowdown: float) -> None:
        """Take in how long a request took that began at some slowdown."""
        self._time_by_route.setdefault(call.route, ServiceTime()).add(seconds / max(1.0, slowdown))
