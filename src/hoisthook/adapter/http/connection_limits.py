"""Divides the descriptors of a process among its listeners."""

from __future__ import annotations

import resource
from dataclasses import dataclass

# Descriptors for files, and the largest share of all for them where there are few.
FILE_DESCRIPTORS = 200
MAX_FILE_SHARE = 0.25
# Shares of the descriptors for sockets. More are open for a moment, as connections are accepted
# before they are counted, up to the backlog of a listener. The rest is for connections that the
# process opens itself.
CALLER_SHARE = 0.3
PEER_SHARE = 0.35
LOCAL_SHARE = 0.02
MAX_LOCAL_CONNECTIONS = 64
# Where neither settings nor system limit them.
DEFAULT_DESCRIPTORS = 4096


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Largest number of connections of each listener.

    Attributes
    ----------
    callers, peers : int
        Of callers, and of other nodes.
    local : int
        Of each listener for its own machine: readiness, announcements, metrics.
    """

    callers: int
    peers: int
    local: int


def connection_limits(max_descriptors: int) -> ConnectionLimits:
    """Return the limits for a process.

    Parameters
    ----------
    max_descriptors : int
        Descriptors that the process may have open; 0 for the limit that the system has set.
    """
    of_process = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    known = [limit for limit in (max_descriptors, of_process) if limit > 0]
    descriptors = min(known, default=DEFAULT_DESCRIPTORS)
    sockets = descriptors - min(FILE_DESCRIPTORS, int(MAX_FILE_SHARE * descriptors))
    local = min(MAX_LOCAL_CONNECTIONS, int(LOCAL_SHARE * sockets))
    return ConnectionLimits(
        callers=max(1, int(CALLER_SHARE * sockets)),
        peers=max(1, int(PEER_SHARE * sockets)),
        local=max(1, local),
    )
