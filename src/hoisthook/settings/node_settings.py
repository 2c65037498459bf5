"""The settings file of a node."""

from __future__ import annotations

import msgspec

from hoisthook.routing.policy import PolicyName


class IdentitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who the node is.

    Attributes
    ----------
    id : str
        1 to 63 of ``a-z 0-9 -``; no other running node has it.
    data_centre : str
        Name of the data centre it stands in.
    """

    id: str
    data_centre: str


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the node listens, ``host:port`` each; port 0 lets the system choose.

    Attributes
    ----------
    callers : str
        For callers' requests.
    peers : str
        For other nodes.
    announcements : str
        For the backend server beside it.
    operators : str
        For operators' remote procedure calls.
    """

    callers: str
    peers: str
    announcements: str
    operators: str


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's log service.

    Attributes
    ----------
    address : str
        ``host:port``.
    retention_seconds : float
        For how long it keeps records, at least.
    readers_per_data_centre : int
        Nodes that read it by themselves; the others learn from peers.
    """

    address: str
    retention_seconds: float = 86_400.0
    readers_per_data_centre: int = 2


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the node meets others.

    Attributes
    ----------
    seeds : tuple of str
        Peer addresses to begin with, ``host:port`` each.
    interval_seconds : float
        Time between two exchanges that the node starts.
    """

    seeds: tuple[str, ...] = ()
    interval_seconds: float = 0.5


class RoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the node chooses and admits.

    Attributes
    ----------
    policy : PolicyName
        ``hoisthook``, or a baseline to compare with.
    admission : bool
        False lets every request through to the backend server; for comparison only.
    """

    policy: PolicyName = PolicyName.HOISTHOOK
    admission: bool = True


class LoggingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the node writes to standard error, as JSON lines.

    Attributes
    ----------
    decisions : bool
        Whether each routing and placement decision gets a line.
    """

    decisions: bool = True


class MetricsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics go.

    Attributes
    ----------
    statsd : str
        ``host:port`` for UDP; empty for nowhere.
    prefix : str
        Put before each name.
    interval_seconds : float
        Time between two reports.
    """

    statsd: str = ""
    prefix: str = "hoisthook"
    interval_seconds: float = 5.0


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the node ends.

    Attributes
    ----------
    drain_seconds : float
        For how long requests in progress may go on.
    """

    drain_seconds: float = 30.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a node, one table each."""

    node: IdentitySettings
    listen: ListenSettings
    log: LogSettings
    peers: PeerSettings = PeerSettings()
    routing: RoutingSettings = RoutingSettings()
    logging: LoggingSettings = LoggingSettings()
    metrics: MetricsSettings = MetricsSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
