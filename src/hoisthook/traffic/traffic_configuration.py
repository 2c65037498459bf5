"""One version of the traffic configuration."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from hoisthook.teams.team_table import TeamTable
from hoisthook.traffic.route_table import RouteTable

if TYPE_CHECKING:
    from hoisthook.identity import ServiceName
    from hoisthook.traffic.configuration_parts import ConfigurationParts
    from hoisthook.traffic.route import Route


@dataclass(frozen=True, slots=True)
class ServiceTraits:
    """Settings of a service.

    Attributes
    ----------
    health_path : str
        Path of the health check of its backend servers.
    max_connections : int
        Maximum number of connections to one backend server, over all callers.
    cold_per_second : float or None
        Requests per second that a backend server can handle during its cold start; None for no
        limit.
    cold_seconds : float
        Duration of the cold start in seconds; 0 if operators set none.
    """

    health_path: str
    max_connections: int
    cold_per_second: float | None = None
    cold_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the requests and connections of a caller.

    Attributes
    ----------
    max_head_bytes : int
        Maximum size of a request's head.
    max_body_bytes : int
        Maximum size of a request's body.
    head_timeout : float
        Seconds from the first byte of a head within which it must be complete.
    idle_timeout : float
        Seconds after which a connection without a request is closed.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class TrafficConfiguration:
    """Routes, services and limits of one version.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        All routes.
    traits_by_service : dict
        Settings of all services.
    limits : ClientLimits or None
        Limits on callers; None where operators set none.
    parts : ConfigurationParts
        The parts as they were published, to forward to peers.
    teams : TeamTable
        Teams that may send requests; empty where teams are not distinguished.
    table : RouteTable
        Derived from ``routes``.
    """

    version: int
    routes: tuple[Route, ...]
    traits_by_service: dict[ServiceName, ServiceTraits]
    limits: ClientLimits | None
    parts: ConfigurationParts
    teams: TeamTable = field(default_factory=TeamTable)
    table: RouteTable = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "table", RouteTable(self.routes))
