"""Distributes a route's requests over its parts by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import RouteName
    from hoisthook.identity import ServiceName
    from hoisthook.traffic.route import Route
    from hoisthook.traffic.route import RoutePart


class RoutePartSelector:
    """Smooth weighted round robin with one state per route.

    The shares hold over any short sequence of requests, unlike with random selection. A
    part without capacity is not replaced by another: the weights are set by operators.
    """

    def __init__(self) -> None:
        self._credits_by_route: dict[RouteName, dict[RoutePart, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the route's next request."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credit_by_part = self._credits_by_route.get(route.name)
        if credit_by_part is None or tuple(credit_by_part) != parts:
            credit_by_part = dict.fromkeys(parts, 0.0)
            self._credits_by_route[route.name] = credit_by_part
        total = 0.0
        for part in parts:
            credit_by_part[part] += part.weight
            total += part.weight
        chosen = max(parts, key=credit_by_part.__getitem__)
        credit_by_part[chosen] -= total
        return chosen.service
