"""The settings file of a node on the platform."""

from __future__ import annotations

import msgspec


class MeshIdentitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity and location of the node.

    Attributes
    ----------
    id : str
        Unique among the running nodes.
    data_centre : str
        Data centre of the node.
    service : str
        Service of the local backend server.
    first_start : bool
        Whether all nodes are being started for the first time.
    link_mbps : float
        Bandwidth of the instance's link, in megabits per second; 0 if unknown.
    memory_mb : float
        Memory that the process may use, in megabytes.
    max_descriptors : int
        Descriptors that the process may have open; 0 for the limit that the system has set.
    """

    id: str
    data_centre: str
    service: str
    first_start: bool = False
    link_mbps: float = 0.0
    memory_mb: float = 256.0
    max_descriptors: int = 0


class MeshListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listen addresses of the node, ``host:port`` each.

    Attributes
    ----------
    callers : str
        For requests of callers on this instance.
    peers : str
        For other nodes.
    readiness : str
        For the platform's readiness check.
    announcements : str
        For the backend server's heartbeats.
    metrics : str
        For counters and histograms; empty to disable.
    """

    callers: str
    peers: str
    readiness: str
    announcements: str
    metrics: str = ""


class BackendServerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The local backend server.

    Attributes
    ----------
    address : str
        Its listen address, ``host:port``.
    usable_share : float
        Share of its slots that is used if it is observed to slow down when nearly full.
    reuse_after_seconds : float
        Time after the exit of the backend server within which its address is not assigned to a
        server of another service; 0 if not known.
    """

    address: str
    usable_share: float = 0.8
    reuse_after_seconds: float = 0.0


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address and topics of the platform's store.

    Attributes
    ----------
    address : str
        ``host:port``.
    configuration_topic : str
        Topic in which operators publish the configuration.
    configuration_key : str
        Key of the configuration in that topic.
    evacuation_prefix : str
        A record of the same topic whose key is this prefix and the name of a data centre requests
        its evacuation; empty to disable.
    nodes_topic : str
        Topic of the nodes' records; the store retains the newest record of each key.
    readers_per_data_centre : int
        Nodes per data centre that read the store directly; the other nodes poll one of them.
    apply_seconds : float
        A change of the configuration is in force on all nodes this long after its acknowledgement.
    """

    address: str
    configuration_topic: str
    configuration_key: str
    nodes_topic: str
    readers_per_data_centre: int = 2
    evacuation_prefix: str = ""
    apply_seconds: float = 2.0


class MeshShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shutdown of the node.

    Attributes
    ----------
    grace_seconds : float
        Time from the stop signal until the process is killed.
    """

    grace_seconds: float = 6.0


class MeshRetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The retry budget of a service, shared by all nodes.

    Attributes
    ----------
    ratio : float
        Extra attempts per request of the service.
    window_seconds : float
        Length of the window in which they are counted.
    extra : float
        Extra attempts per window that all nodes together may make in addition.
    """

    ratio: float = 0.2
    window_seconds: float = 10.0
    extra: float = 20.0


class MeshMeasureSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reads of the load endpoint of the backend server.

    Attributes
    ----------
    per_second : float
        Upper limit; a load that responses have already reported is not read again.
    """

    per_second: float = 8.0


class MeshRoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Costs in the choice of a backend server.

    Attributes
    ----------
    data_centre_cost : float
        Cost of a request to another data centre, as a share of its target latency.
    """

    data_centre_cost: float = 0.25


class MeshColdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit of the requests per second, from all nodes together, to a cold backend server.

    Attributes
    ----------
    rate_factor : float
        Multiple of the rate that operators state for its service; 0 for no limit.
    extra : float
        Requests per second that are allowed in addition.
    """

    rate_factor: float = 0.0
    extra: float = 0.0


class MeshKeySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Revocation of teams' keys.

    Attributes
    ----------
    revocation_seconds : float
        This long after a change that revokes a key has been acknowledged, no node accepts the key,
        even if it is partitioned; 0 if a node that cannot learn of changes goes on serving.
    """

    revocation_seconds: float = 0.0


class MeshTeamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Enforcement of the teams' quotas by all nodes together.

    In any window a team gets at most ``1 + quota_over_share`` times its quota for that window, plus
    ``quota_extra`` requests.

    Attributes
    ----------
    quota_window_seconds : float
        Length of the window.
    quota_over_share : float
        Share of its quota by which a team may exceed it.
    quota_extra : float
        Requests per window that are allowed in addition.
    """

    quota_window_seconds: float = 5.0
    quota_over_share: float = 0.0
    quota_extra: float = 0.0


class MeshLoggingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the node writes to standard output, as JSON lines.

    Attributes
    ----------
    decisions : bool
        Whether decisions about requests are logged; events always are.
    lines_per_second : int
        Upper limit of logged decisions; the remaining ones are only counted.
    """

    decisions: bool = True
    lines_per_second: int = 400


class MeshSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a node on the platform; each field is a TOML table."""

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
