"""Load patterns: the services, requests and disruptions of a simulation, and its results."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import msgspec

from hoisthook.experiment.arrival_ledger import ArrivalLedger
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName


class DisruptionKind(Enum):
    """Kinds of disruption of modelled backend servers, nodes or callers."""

    BURST = "burst"
    """Callers send ``strength`` times as many requests."""

    RESTART = "restart"
    """Servers restart together: requests in progress are lost, then the servers are cold."""

    DEGRADED = "degraded"
    """Requests take ``strength`` times as long, and load reports do not show it."""

    ERRORS = "errors"
    """A share ``strength`` of the requests fails immediately."""

    SHEDS = "sheds"
    """A share ``strength`` of the requests is shed by the server itself."""

    GONE = "gone"
    """Servers and their nodes are down without notice; connections to them time out."""

    RETRIES = "retries"
    """Callers retry failed requests up to ``strength`` times, without backoff."""

    SILENT = "silent"
    """Nodes are unresponsive; requests sent to them meanwhile arrive when the disruption ends."""

    LIMITED = "limited"
    """Servers name a limit of ``strength`` requests per second in their answers."""

    NODE_STARTS = "node_starts"
    """Nodes restart without state; until it ends they know only nodes of their data centre."""


class Disruption(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A disruption that starts at a given time and lasts for a given duration.

    Attributes
    ----------
    kind : DisruptionKind
        Its kind.
    at, lasts : float
        Start, in seconds from the start of the pattern, and duration in seconds.
    strength : float
        Meaning depends on the kind.
    share : float
        Share of the servers of the service that are affected; of all nodes for ``NODE_STARTS``.
    service : ServiceName
        Service affected; empty for all.
    """

    kind: DisruptionKind
    at: float
    lasts: float
    strength: float = 1.0
    share: float = 1.0
    service: ServiceName = ServiceName("")


class ServerTraits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity and speed of a modelled backend server.

    Attributes
    ----------
    slots, queue : int
        Numbers of requests that it executes concurrently and that its queue holds.
    knee, knee_factor : float
        Share of the slots in use above which requests take ``knee_factor`` times as long.
    slow_share, slow_factor : float
        Share of the time in slow periods, and factor by which requests take longer in them.
    slow_seconds : float
        Mean time after which it is drawn again whether the server is slow.
    cold_seconds, cold_factor : float
        Time after a start, and factor by which requests take longer then.
    """

    slots: int = 18
    queue: int = 36
    knee: float = 0.8
    knee_factor: float = 1.7
    slow_share: float = 0.25
    slow_factor: float = 5.0
    slow_seconds: float = 0.15
    cold_seconds: float = 3.0
    cold_factor: float = 2.0


class ServiceTraits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service: its name, number of backend servers, and their traits."""

    name: ServiceName
    servers: int
    traits: ServerTraits = ServerTraits()


class RouteTraits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate, work and value of the requests of one route.

    Attributes
    ----------
    name : RouteName
        Unique name of the route.
    service : ServiceName
        Service that executes the requests.
    per_second : float
        Rate of requests by callers, over all ingress nodes; 0 if other routes alone call it.
    work, spread : float
        Median of the service time in seconds, and standard deviation of its logarithm.
    target, timeout : float
        Target latency and timeout in seconds.
    priority : int
        Priority; 0 is the most urgent.
    repeatable : bool
        Whether requests may be executed more than once.
    worth, late_worth : float
        Values of a response within the target latency and of a late response.
    calls : RouteName
        Route that a request may call once; empty for none.
    call_share : float
        Share of the requests that make this call.
    retries : int
        Maximum number of retries by a caller after a refusal or a failure.
    """

    name: RouteName
    service: ServiceName
    per_second: float
    work: float
    target: float
    timeout: float
    priority: int = 1
    repeatable: bool = True
    worth: float = 1.0
    late_worth: float = 0.1
    spread: float = 0.3
    calls: RouteName = RouteName("")
    call_share: float = 0.0
    retries: int = 1


class LoadPattern(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The services, routes and disruptions of a simulation; read from a TOML file.

    Attributes
    ----------
    name : str
        Name in tables of results.
    seconds : float
        Duration of the simulation in virtual time.
    services : list of ServiceTraits
        Each of their backend servers has a node.
    routes : list of RouteTraits
        Requests of callers, and calls between services.
    troubles : list of Disruption
        Disruptions of the simulation.
    """

    name: str
    seconds: float
    services: list[ServiceTraits]
    routes: list[RouteTraits]
    troubles: list[Disruption] = []


@dataclass(slots=True)
class LoadResults:
    """Outcomes of callers' requests; calls made by requests are not counted.

    Attributes
    ----------
    offered, earned : float
        Values of all requests, and of those answered.
    offered_by_second, earned_by_second : dict of int to float
        The same by the second in which the request was sent.
    in_time, late, refused, failed : int
        Numbers of requests by outcome.
    reads : int
        Reads of the load of backend servers.
    unanswered : int
        Connections that timed out.
    seconds : list of float
        Times from a caller's first attempt to the response.
    arrivals : ArrivalLedger
        Arrivals at backend servers, including those of calls.
    """

    offered: float = 0.0
    earned: float = 0.0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    reads: int = 0
    unanswered: int = 0
    offered_by_second: dict[int, float] = field(default_factory=dict)
    earned_by_second: dict[int, float] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)
    arrivals: ArrivalLedger = field(default_factory=ArrivalLedger)

    @property
    def requests(self) -> int:
        """Return the number of requests."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def share(self) -> float:
        """Return the ratio of earned to offered value; 1 without requests."""
        return self.earned / self.offered if self.offered else 1.0

    @property
    def worst_share(self) -> float:
        """Return the lowest ratio of earned to offered value in any second."""
        shares = (
            self.earned_by_second.get(second, 0.0) / offered
            for second, offered in self.offered_by_second.items()
            if offered > 0
        )
        return min(shares, default=1.0)

    def quantile(self, share: float) -> float:
        """Return the quantile ``share`` of the response times, in seconds; 0 without responses."""
        if not self.seconds:
            return 0.0
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
