"""Configurations as operators publish them on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


class RouteOptions(msgspec.Struct, frozen=True):
    """A route to publish.

    Attributes
    ----------
    service : str
        Who runs it.
    host, prefix : str
        What it takes.
    safe : bool
        Whether its requests may be repeated.
    public : bool
        Whether they need no key.
    timeout, target : float
        Seconds.
    priority, attempts : int
        As in the configuration.
    weights : dict
        In place of ``service`` where the route is split.
    cold_per_second : float or None
        What operators say that a cold backend server of the service bears.
    """

    service: str
    host: str = "a.example"
    prefix: str = "/"
    safe: bool = True
    timeout: float = 2.0
    target: float = 1.0
    priority: int = 1
    attempts: int = 2
    weights: dict[str, float] = {}
    cold_per_second: float | None = None
    public: bool = False


class TeamOptions(msgspec.Struct, frozen=True):
    """A team to publish.

    Attributes
    ----------
    name : str
        Its name.
    keys : tuple of str
        Its keys.
    priority : int
        Its rank.
    per_second, burst : float
        Its quota; 0 a second for none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 1
    per_second: float = 0.0
    burst: float = 0.0


def configuration(version: int, *routes: RouteOptions, teams: Iterable[TeamOptions] = ()) -> bytes:
    """Return a configuration as operators publish it."""
    resources: list[dict[str, object]] = []
    cold_by_service: dict[str, float | None] = {}
    for number, route in enumerate(routes):
        spec: dict[str, object] = {
            "host": route.host,
            "pathPrefix": route.prefix,
            "kind": "safe" if route.safe else "unsafe",
            "timeoutS": route.timeout,
            "targetLatencyS": route.target,
            "priority": route.priority,
            "maxAttempts": route.attempts,
            "public": route.public,
        }
        if route.weights:
            spec["weightedServices"] = [
                {"service": name, "weight": weight} for name, weight in route.weights.items()
            ]
        else:
            spec["service"] = route.service
        for name in route.weights or [route.service]:
            cold_by_service[name] = route.cold_per_second
        resources.append({"type": "routes", "metadata": {"name": f"r-{number}"}, "spec": spec})
    for name, cold in sorted(cold_by_service.items()):
        traits: dict[str, object] = {"healthPath": "/healthz", "maxConnections": 100}
        if cold is not None:
            traits["coldPerS"] = cold
        resources.append({"type": "services", "metadata": {"name": name}, "spec": traits})
    for team in teams:
        holder = {
            "apiKeys": list(team.keys),
            "priority": team.priority,
            "ratePerS": team.per_second,
            "burst": team.burst,
        }
        resources.append({"type": "tenants", "metadata": {"name": team.name}, "spec": holder})
    limits = {
        "maxHeaderBytes": 8192,
        "maxBodyBytes": 100_000,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    resources.append({"type": "limits", "metadata": {}, "spec": limits})
    return msgspec.json.encode({"version": version, "baseVersion": 0, "resources": resources})
