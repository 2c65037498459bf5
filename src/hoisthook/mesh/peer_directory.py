"""The nodes that this node knows, by the service beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.identity import parse_address
from hoisthook.mesh.peer import PeerView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.identity import NodeId
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.peer import Peer
    from hoisthook.port.event_log import EventLog


class PeerDirectory:
    """Registered nodes; each is known by its id, and an address belongs to the newest.

    Parameters
    ----------
    me : Peer
        This node.
    log : EventLog
        Gets a line for each node that is added or dropped.
    """

    def __init__(self, me: Peer, log: EventLog) -> None:
        self._log = log
        self.me = me
        self._by_node: dict[NodeId, PeerView] = {}
        self._by_service: dict[ServiceName, dict[NodeId, PeerView]] = {}
        self._add(me)

    def __len__(self) -> int:
        return len(self._by_node)

    def peers(self) -> list[Peer]:
        """Return all known nodes, this one included."""
        return [view.peer for view in self._by_node.values()]

    def views(self) -> Iterable[PeerView]:
        """Return what is believed of all known nodes, this one included."""
        return self._by_node.values()

    def others(self) -> list[PeerView]:
        """Return all known nodes but this one."""
        return [view for view in self._by_node.values() if not view.is_self]

    def serving(self, service: ServiceName) -> Iterable[PeerView]:
        """Return the nodes beside backend servers of a service."""
        return self._by_service.get(service, {}).values()

    def merge(self, peers: Iterable[Peer], source: str) -> int:
        """Take in nodes; return how many were new or had changed."""
        changed = 0
        for peer in peers:
            known = self._by_node.get(peer.node)
            if peer.node == self.me.node or (known is not None and known.peer == peer):
                continue
            if not _is_well_formed(peer):
                self._log.event("peer_unreadable", peer=peer.node, address=peer.address)
                continue
            self._drop(peer.node)
            self._add(peer)
            self._log.event("peer_added", peer=peer.node, service=peer.service, source=source)
            changed += 1
        return changed

    def forget(self, node: NodeId, reason: str) -> None:
        """Drop a node."""
        if node != self.me.node and self._drop(node):
            self._log.event("peer_dropped", peer=node, reason=reason)

    def _add(self, peer: Peer) -> None:
        view = PeerView(
            peer,
            is_self=peer.node == self.me.node,
            same_data_centre=peer.data_centre == self.me.data_centre,
        )
        self._by_node[peer.node] = view
        self._by_service.setdefault(peer.service, {})[peer.node] = view

    def _drop(self, node: NodeId) -> bool:
        view = self._by_node.pop(node, None)
        if view is None:
            return False
        del self._by_service[view.peer.service][node]
        return True


def _is_well_formed(peer: Peer) -> bool:
    try:
        parse_address(peer.address)
    except ValueError:
        return False
    return bool(peer.node and peer.service)
