"""One version of everything that operators say about traffic."""

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
    """What operators say about a service.

    Attributes
    ----------
    health_path : str
        Path of its backend servers' health check.
    max_connections : int
        Connections that a backend server accepts from all callers together.
    cold_per_second : float or None
        Requests a second that a backend server bears while it is cold; None for any number.
    cold_seconds : float
        For how long it is cold after its start; 0 if operators do not say.
    """

    health_path: str
    max_connections: int
    cold_per_second: float | None = None
    cold_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a caller may send.

    Attributes
    ----------
    max_head_bytes : int
        Bytes of a request's head.
    max_body_bytes : int
        Bytes of a request's body.
    head_timeout : float
        Seconds within which a head that has begun must be whole.
    idle_timeout : float
        Seconds for which a connection without a request is kept.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class TrafficConfiguration:
    """Routes, services and limits in force together.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        All routes.
    traits_by_service : dict
        All services.
    limits : ClientLimits or None
        None where operators set none.
    parts : ConfigurationParts
        The parts as they were published, to hand on to peers.
    teams : TeamTable
        Who may ask; empty where teams are not told apart.
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
