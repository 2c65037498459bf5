"""The nodes that this node knows, by the service of their backend servers."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING

import msgspec

from hoisthook.identity import parse_address
from hoisthook.membership.change_log import ChangeLog
from hoisthook.membership.suspicion import ReachabilityReports
from hoisthook.mesh.peer import PeerView

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator

    from hoisthook.identity import NodeId
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.peer import Peer
    from hoisthook.port.event_log import EventLog

# Limits the log line of a list that is entirely new, as at a start.
MAX_LOGGED_PEERS = 10


class PeerDirectory:
    """Registered nodes by id and by service; a newer registration replaces the older one.

    Parameters
    ----------
    me : Peer
        This node.
    log : EventLog
        Receives an event for nodes that are added, dropped or malformed.

    Attributes
    ----------
    reachability_reports : ReachabilityReports
        Which nodes this node could or could not reach itself, and reports of others to forward.
    digest : int
        Equal in two directories that hold the same registrations.
    full_list_received : asyncio.Event
        Set once another node has sent the list of all nodes without being asked.
    peers_known : asyncio.Event
        Set once the store's list has been read or any other node is known.
    is_complete : bool
        Whether all registered nodes are known: the store's list has been read, or another node has
        sent it. Until then, shares must not be computed from the number of known nodes, which may
        be far too small.
    """

    def __init__(self, me: Peer, log: EventLog) -> None:
        self._log = log
        self._change_log = ChangeLog()
        self.reachability_reports = ReachabilityReports()
        self._by_node: dict[NodeId, PeerView] = {}
        self._by_service: dict[ServiceName, dict[NodeId, PeerView]] = {}
        self.me = me
        self.digest = 0
        self.full_list_received = asyncio.Event()
        self.peers_known = asyncio.Event()
        self.is_complete = False
        self._add(me)

    def __len__(self) -> int:
        return len(self._by_node)

    @property
    def revision(self) -> int:
        """Return the revision of the directory; it grows with each node that is added."""
        return self._change_log.revision

    def peers(self) -> list[Peer]:
        """Return all known nodes, this one included."""
        return [view.peer for view in self._by_node.values()]

    def peers_since(self, revision: int) -> list[Peer]:
        """Return the nodes that were added or changed after a revision."""
        return [self._by_node[node].peer for node in self._change_log.since(revision)]

    def views(self) -> Iterable[PeerView]:
        """Return the observed state of all known nodes, this one included."""
        return self._by_node.values()

    def others_suspect(self, nodes: Iterable[NodeId], now: float) -> None:
        """Suspect nodes that others have reported as unreachable."""
        for view in self._known_views(nodes):
            view.others_suspect(now)

    def others_reached(self, nodes: Iterable[NodeId]) -> None:
        """Clear the suspicion of nodes that others have reported as reachable."""
        for view in self._known_views(nodes):
            view.connected()

    def others(self) -> list[PeerView]:
        """Return the views of all known nodes except this one."""
        return [view for view in self._by_node.values() if not view.is_self]

    def serving(self, service: ServiceName) -> Collection[PeerView]:
        """Return the nodes of the backend servers of a service."""
        return self._by_service.get(service, {}).values()

    def nodes_of_own_service(self) -> list[NodeId]:
        """Return the nodes of the backend servers of this node's service, itself included."""
        return list(self._by_service.get(self.me.service, {}))

    def merge(self, peers: Iterable[Peer], source: str) -> int:
        """Add or replace nodes; return how many were new or had changed."""
        added: list[NodeId] = []
        for peer in peers:
            known = self._by_node.get(peer.node)
            if peer.node == self.me.node or (known is not None and known.peer == peer):
                continue
            if not _is_well_formed(peer):
                self._log.event("peer_unreadable", peer=peer.node, address=peer.address)
                continue
            self._drop(peer.node)
            self._add(peer)
            added.append(peer.node)
        if added:
            self.peers_known.set()
            # One log line for all: 195 lines at each start took 4.3 ms of CPU time.
            self._log.event(
                "peers_added", count=len(added), peers=added[:MAX_LOGGED_PEERS], source=source
            )
        return len(added)

    def forget(self, node: NodeId, reason: str) -> None:
        """Remove a node; has no effect on this node itself."""
        if node != self.me.node and self._drop(node):
            self._log.event("peer_dropped", peer=node, reason=reason)

    def _known_views(self, nodes: Iterable[NodeId]) -> Iterator[PeerView]:
        for node in nodes:
            view = self._by_node.get(node)
            if view is not None and not view.is_self:
                yield view

    def _add(self, peer: Peer) -> None:
        view = PeerView(
            peer,
            is_self=peer.node == self.me.node,
            same_data_centre=peer.data_centre == self.me.data_centre,
        )
        self._by_node[peer.node] = view
        self._by_service.setdefault(peer.service, {})[peer.node] = view
        self._change_log.note(peer.node)
        self.digest ^= _digest(peer)

    def _drop(self, node: NodeId) -> bool:
        view = self._by_node.pop(node, None)
        if view is None:
            return False
        del self._by_service[view.peer.service][node]
        self._change_log.forget(node)
        self.digest ^= _digest(view.peer)
        return True


def _digest(peer: Peer) -> int:
    return zlib.crc32(msgspec.json.encode(peer))


def _is_well_formed(peer: Peer) -> bool:
    try:
        parse_address(peer.address)
    except ValueError:
        return False
    return bool(peer.node and peer.service)
