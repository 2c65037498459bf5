"""One route: which requests it takes, where they go, and what binds them."""

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
        Who takes them.
    weight : float
        The share, relative to the weights of the other parts.
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
        Seconds after which the caller is answered whatever has happened.
    target_latency : float
        Seconds within which an answer has its full worth.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Backend servers that one request may be sent to, at most.
    public : bool
        Whether its requests need no team's key where teams are told apart.
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
