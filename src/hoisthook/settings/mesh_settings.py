"""The settings file of a node on the platform."""

from __future__ import annotations

import msgspec


class MeshIdentitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who the node is.

    Attributes
    ----------
    id : str
        No other running node has it.
    data_centre : str
        Where it stands.
    service : str
        What the backend server beside it serves.
    first_start : bool
        Whether all nodes start for the first time at this moment.
    link_mbps : float
        How much the instance's link carries, in megabits a second; 0 if that is not known.
    """

    id: str
    data_centre: str
    service: str
    first_start: bool = False
    link_mbps: float = 0.0


class MeshListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the node listens, ``host:port`` each.

    Attributes
    ----------
    callers : str
        For requests that begin on this instance.
    peers : str
        For other nodes.
    readiness : str
        For the platform's readiness check.
    announcements : str
        For the backend server's heartbeats.
    metrics : str
        For counters and histograms; empty for nowhere.
    """

    callers: str
    peers: str
    readiness: str
    announcements: str
    metrics: str = ""


class BackendServerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The backend server beside the node.

    Attributes
    ----------
    address : str
        Where it listens, ``host:port``.
    usable_share : float
        Share of its slots that is used where it is seen to slow down when nearly full.
    """

    address: str
    usable_share: float = 0.8


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store.

    Attributes
    ----------
    address : str
        ``host:port``.
    configuration_topic : str
        Topic in which operators publish.
    configuration_key : str
        Key under which they do.
    evacuation_prefix : str
        Keys of the same topic that begin so and go on with a data centre ask for its evacuation;
        empty where there are none.
    nodes_topic : str
        Topic of the nodes' own records, of which the store keeps the newest of each key.
    readers_per_data_centre : int
        Nodes that follow the configuration there by themselves; the others ask one of them.
    """

    address: str
    configuration_topic: str
    configuration_key: str
    nodes_topic: str
    readers_per_data_centre: int = 2
    evacuation_prefix: str = ""


class MeshShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the node ends.

    Attributes
    ----------
    grace_seconds : float
        Time between the signal to stop and the one that kills.
    """

    grace_seconds: float = 6.0


class MeshRetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The budget of extra tries that all nodes share.

    Attributes
    ----------
    ratio : float
        Extra tries per request of a service.
    window_seconds : float
        The window over which they are counted.
    extra : float
        Extra tries that all nodes together may make in a window besides.
    """

    ratio: float = 0.2
    window_seconds: float = 10.0
    extra: float = 20.0


class MeshMeasureSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reads of the backend server's load.

    Attributes
    ----------
    per_second : float
        At most; a load that answers have told is not read again.
    """

    per_second: float = 8.0


class MeshRoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the choice of a backend server weighs.

    Attributes
    ----------
    data_centre_cost : float
        What a request to another data centre costs, as a share of its target latency.
    """

    data_centre_cost: float = 0.25


class MeshColdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a cold backend server may get in any second, all nodes together.

    Attributes
    ----------
    rate_factor : float
        How many times the rate that operators state for its service; 0 for no bound.
    extra : float
        How many requests besides.
    """

    rate_factor: float = 0.0
    extra: float = 0.0


class MeshKeySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds for teams' keys that are taken away.

    Attributes
    ----------
    revocation_seconds : float
        So long after the acknowledgement of a change no node takes a key that it took away,
        whatever it can reach; 0 where a node that cannot know of a change goes on serving.
    """

    revocation_seconds: float = 0.0


class MeshTeamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds for teams, all nodes together.

    In any window a team gets no more than its quota allows for it, that share more, and the extra.

    Attributes
    ----------
    quota_window_seconds : float
        The window.
    quota_over_share : float
        By how much of its quota a team may exceed it.
    quota_extra : float
        Requests by which it may exceed it besides.
    """

    quota_window_seconds: float = 5.0
    quota_over_share: float = 0.0
    quota_extra: float = 0.0


class MeshLoggingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the node writes to standard output, as JSON lines.

    Attributes
    ----------
    decisions : bool
        Whether each decision about a request gets a line; events always do.
    lines_per_second : int
        Decisions written at most; those beyond are counted.
    """

    decisions: bool = True
    lines_per_second: int = 400


class MeshSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a node on the platform, one table each."""

    node: MeshIdentitySettings
    listen: MeshListenSettings
    backend_server: BackendServerSettings
    store: StoreSettings
    shutdown: MeshShutdownSettings = MeshShutdownSettings()
    retry: MeshRetrySettings = MeshRetrySettings()
    measure: MeshMeasureSettings = MeshMeasureSettings()
    routing: MeshRoutingSettings = MeshRoutingSettings()
    cold: MeshColdSettings = MeshColdSettings()
    keys: MeshKeySettings = MeshKeySettings()
    teams: MeshTeamSettings = MeshTeamSettings()
    logging: MeshLoggingSettings = MeshLoggingSettings()
