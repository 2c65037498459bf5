"""Load patterns: what is asked of a modelled system and what befalls it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import msgspec

from hoisthook.experiment.arrival_ledger import ArrivalLedger
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName


class DisruptionKind(Enum):
    """What can befall modelled backend servers or callers."""

    BURST = "burst"
    """Callers send ``strength`` times as much."""

    RESTART = "restart"
    """Servers restart at once: work in progress is lost, then they are cold."""

    DEGRADED = "degraded"
    """Work takes ``strength`` times as long and no load report says so."""

    ERRORS = "errors"
    """A share ``strength`` of the requests fails at once."""

    SHEDS = "sheds"
    """A share ``strength`` of the requests is turned away by the server itself."""

    GONE = "gone"
    """Servers and their nodes are gone without a word; a connection to them is not answered."""

    RETRIES = "retries"
    """Callers repeat what fails ``strength`` times, at once."""

    SILENT = "silent"
    """Nodes answer nothing; what is sent to them meanwhile arrives when that ends."""

    NODE_STARTS = "node_starts"
    """Nodes start anew and know nothing of before; until it ends they know a few others only."""


class Disruption(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One disruption.

    Attributes
    ----------
    kind : DisruptionKind
        What.
    at, lasts : float
        Seconds from the start, and for how long.
    strength : float
        As the kind says.
    share : float
        Of the servers of the service that it befalls.
    service : ServiceName
        Whose; empty for all.
    """

    kind: DisruptionKind
    at: float
    lasts: float
    strength: float = 1.0
    share: float = 1.0
    service: ServiceName = ServiceName("")


class ServerTraits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a modelled backend server works.

    Attributes
    ----------
    slots, queue : int
        Requests that it runs at once, and that wait there.
    knee, knee_factor : float
        Share of the slots beyond which work takes that many times as long.
    slow_share, slow_factor : float
        Share of the time in slow moments, and how many times as long work takes in them.
    slow_seconds : float
        How long the speed stays as it is before it is drawn again.
    cold_seconds, cold_factor : float
        How long after a start, and how many times as long work takes then.
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
    """A service: its name, how many backend servers it has, and how they work."""

    name: ServiceName
    servers: int
    traits: ServerTraits = ServerTraits()


class RouteTraits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one route.

    Attributes
    ----------
    name : RouteName
        Unique.
    service : ServiceName
        Who runs them.
    per_second : float
        How many come, over all entries; 0 for calls only.
    work, spread : float
        Median of the work in seconds, and the standard deviation of its logarithm.
    target, timeout : float
        Seconds.
    priority : int
        Rank; 0 is the most urgent.
    repeatable : bool
        Whether they may run more than once.
    worth, late_worth : float
        What an answer within the target, and a late one, is worth.
    calls : RouteName
        A route that the work calls once; empty for none.
    call_share : float
        How often it does.
    retries : int
        How often callers come back after a refusal or a failure.
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
    """A system and what happens in it; read from a TOML file.

    Attributes
    ----------
    name : str
        For tables.
    seconds : float
        How long it is played.
    services : list of ServiceTraits
        Each backend server has a node beside it.
    routes : list of RouteTraits
        What is asked.
    troubles : list of Disruption
        What befalls it.
    """

    name: str
    seconds: float
    services: list[ServiceTraits]
    routes: list[RouteTraits]
    troubles: list[Disruption] = []


@dataclass(slots=True)
class LoadResults:
    """What became of the requests of callers; calls within requests are not counted.

    Attributes
    ----------
    owed, earned : float
        Worth of all requests, and of those answered.
    owed_by_second, earned_by_second : dict of int to float
        The same by the second in which a request came.
    in_time, late, refused, failed : int
        Requests by outcome.
    reads : int
        Reads of the load.
    unanswered : int
        Connections that nobody answered.
    seconds : list of float
        From a caller's first try to its answer.
    arrivals : ArrivalLedger
        What reached backend servers, calls among it.
    """

    owed: float = 0.0
    earned: float = 0.0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    reads: int = 0
    unanswered: int = 0
    owed_by_second: dict[int, float] = field(default_factory=dict)
    earned_by_second: dict[int, float] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)
    arrivals: ArrivalLedger = field(default_factory=ArrivalLedger)

    @property
    def requests(self) -> int:
        """Return how many requests came."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def share(self) -> float:
        """Return the earned share of what was owed."""
        return self.earned / self.owed if self.owed else 1.0

    @property
    def worst_share(self) -> float:
        """Return the earned share in the worst second."""
        shares = (
            self.earned_by_second.get(second, 0.0) / owed
            for second, owed in self.owed_by_second.items()
            if owed > 0
        )
        return min(shares, default=1.0)

    def quantile(self, share: float) -> float:
        """Return the time within which a share of the answers came, in seconds."""
        if not self.seconds:
            return 0.0
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
