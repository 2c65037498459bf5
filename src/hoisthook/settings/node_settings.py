"""The settings file of a node."""

from __future__ import annotations

import msgspec

from hoisthook.routing.policy import PolicyName


class IdentitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity and location of the node.

    Attributes
    ----------
    id : str
        1 to 63 of ``a-z 0-9 -``; unique among the running nodes.
    data_centre : str
        Name of the data centre of the node.
    """

    id: str
    data_centre: str


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listen addresses of the node, ``host:port`` each; port 0 selects a free port.

    Attributes
    ----------
    callers : str
        For callers' requests.
    peers : str
        For other nodes.
    announcements : str
        For announcements of the local backend server.
    operators : str
        For the operators' RPC interface.
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
        Minimum time for which it retains records.
    readers_per_data_centre : int
        Nodes per data centre that read it directly; the others receive its records from peers.
    """

    address: str
    retention_seconds: float = 86_400.0
    readers_per_data_centre: int = 2


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Gossip with other nodes.

    Attributes
    ----------
    seeds : tuple of str
        Addresses of the first peers to contact, ``host:port`` each.
    interval_seconds : float
        Time between two gossip exchanges initiated by the node.
    """

    seeds: tuple[str, ...] = ()
    interval_seconds: float = 0.5


class RoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Choice of a backend server and admission control.

    Attributes
    ----------
    policy : PolicyName
        ``hoisthook``, or a baseline policy for comparison.
    admission : bool
        False admits every request to the backend server; for comparison only.
    """

    policy: PolicyName = PolicyName.HOISTHOOK
    admission: bool = True


class LoggingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the node writes to standard error, as JSON lines.

    Attributes
    ----------
    decisions : bool
        Whether routing and placement decisions are logged.
    """

    decisions: bool = True


class MetricsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reporting of metrics to StatsD.

    Attributes
    ----------
    statsd : str
        ``host:port`` for UDP; empty to disable.
    prefix : str
        Prefix of each metric name.
    interval_seconds : float
        Time between two reports.
    """

    statsd: str = ""
    prefix: str = "hoisthook"
    interval_seconds: float = 5.0


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shutdown of the node.

    Attributes
    ----------
    drain_seconds : float
        Time limit for requests in progress.
    """

    drain_seconds: float = 30.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a node; each field is a TOML table."""

    node: IdentitySettings
    listen: ListenSettings
    log: LogSettings
    peers: PeerSettings = PeerSettings()
    routing: RoutingSettings = RoutingSettings()
    logging: LoggingSettings = LoggingSettings()
    metrics: MetricsSettings = MetricsSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
