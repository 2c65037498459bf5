"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.traffic.route import Route


class RouteTable:
    """Routes by host; among those of a host the longest matching prefix wins.

    Parameters
    ----------
    routes : iterable of Route
        In any order.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def __len__(self) -> int:
        return sum(len(by_prefix) for by_prefix in self._by_host.values())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None.

        Parameters
        ----------
        host : str
            Host of the request; a port and upper case are ignored.
        path : str
            Path of the request without a query.
        """
        by_prefix = self._by_host.get(_host_name(host))
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()
