"""Builds configurations in the form in which operators publish them on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BODY_BYTES = 100_000


class RouteOptions(msgspec.Struct, frozen=True):
    """A route to publish.

    Attributes
    ----------
    service : str
        Service that receives the requests.
    host, prefix : str
        Host and path prefix of the requests that match.
    safe : bool
        Whether requests may be repeated.
    public : bool
        Whether requests need no API key.
    timeout, target : float
        Time limit and target latency, in seconds.
    priority, attempts : int
        Priority, and maximum number of attempts of a request.
    weights : dict
        Weight by service, in place of ``service``, if the route is split.
    cold_per_second : float or None
        Requests per second that a cold backend server of the service can take.
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
        Name of the team.
    keys : tuple of str
        API keys.
    priority : int
        Priority rank.
    per_second, burst : float
        Quota in requests per second, 0 for none, and burst size in requests.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 1
    per_second: float = 0.0
    burst: float = 0.0


class LimitOptions(msgspec.Struct, frozen=True):
    """Limits of what clients may send.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest head and largest body of a request.
    header_timeout, idle_timeout : float
        Time for a head, and time without a request, in seconds.
    """

    max_header_bytes: int = 8192
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout: float = 3
    idle_timeout: float = 15


def configuration(
    version: int,
    *routes: RouteOptions,
    teams: Iterable[TeamOptions] = (),
    limits: LimitOptions | None = None,
) -> bytes:
    """Return a configuration, encoded as JSON."""
    options = limits or LimitOptions()
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
        team_spec = {
            "apiKeys": list(team.keys),
            "priority": team.priority,
            "ratePerS": team.per_second,
            "burst": team.burst,
        }
        resources.append({"type": "tenants", "metadata": {"name": team.name}, "spec": team_spec})
    limit_spec = {
        "maxHeaderBytes": options.max_header_bytes,
        "maxBodyBytes": options.max_body_bytes,
        "headerTimeoutS": options.header_timeout,
        "idleTimeoutS": options.idle_timeout,
    }
    resources.append({"type": "limits", "metadata": {}, "spec": limit_spec})
    return msgspec.json.encode({"version": version, "baseVersion": 0, "resources": resources})
