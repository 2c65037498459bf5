"""A route: the requests that it matches, the services that get them, and their limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import RouteName
    from hoisthook.identity import ServiceName


@dataclass(frozen=True, slots=True)
class RoutePart:
    """A service that takes a share of a route's requests.

    Attributes
    ----------
    service : ServiceName
        The service that gets the requests.
    weight : float
        Its share, relative to the weights of the other parts.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A rule for requests of one host below one path prefix.

    Attributes
    ----------
    name : RouteName
        Unique in its configuration.
    host : str
        Lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    parts : tuple of RoutePart
        At least one.
    repeatable : bool
        Whether a request may run more than once.
    timeout : float
        Seconds after which the caller gets an answer in any case.
    target_latency : float
        Seconds within which an answer has its full value to the caller.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Maximum number of backend servers that one request is sent to.
    public : bool
        Whether its requests need no team's key where teams are distinguished.
    """

    name: RouteName
    host: str
    path_prefix: str
    parts: tuple[RoutePart, ...]
    repeatable: bool
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int
    public: bool = False
