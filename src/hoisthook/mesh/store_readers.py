"""Selection of the nodes that read the platform's store; the other nodes poll one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.membership.poll_tree import poll_positions
from hoisthook.membership.poll_tree import polling_order

if TYPE_CHECKING:
    from hoisthook.identity import DataCentre
    from hoisthook.identity import NodeId
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.port.clock import Clock

# A reader that the store rejects is excluded for this time. Outages last for seconds, and polling
# such a reader in vain costs one request per node.
EXCLUSION_SECONDS = 3.0
# Candidates for reading, as a multiple of the number of readers. If the store rejects a third of
# the instances, it rejects all of four times four candidates once in 40 million cases. All other
# nodes of the data centre never call the store, however long it is unavailable.
SPARE_READERS_FACTOR = 4


class StoreReaders:
    """Selects a few nodes of each data centre as readers, on each node independently.

    Nodes that could not be reached recently and readers that the store rejects are excluded, so
    that others take their place. If the nodes' views differ, there is one reader more or fewer
    for a while, which does no harm.

    Parameters
    ----------
    directory : PeerDirectory
        Known nodes.
    clock : Clock
        Monotonic.
    per_data_centre : int
        Number of readers in a data centre.
    """

    def __init__(self, directory: PeerDirectory, clock: Clock, per_data_centre: int) -> None:
        self._directory = directory
        self._clock = clock
        self._count = per_data_centre
        self._excluded_until: dict[NodeId, float] = {}

    def poll_targets(self) -> list[PeerView]:
        """Return the nodes to poll in turn; none if this node reads the store itself."""
        order = self._order()
        readers = self._readers(order)
        if any(view.is_self for view in readers):
            return []
        now = self._clock.now()
        if all(self._is_excluded(view.peer.node, now) for view in readers):
            return readers
        usable = [view for view in order if not self._is_excluded(view.peer.node, now)]
        position = next(position for position, view in enumerate(usable) if view.is_self)
        # With most candidates excluded, a node that is none of them may come first of the others.
        return [usable[index] for index in poll_positions(position, self._count)] or readers

    def other_local_readers(self) -> list[PeerView]:
        """Return the other readers of this data centre; none if this node is not a reader."""
        chosen = self._readers(self._order())
        if not any(view.is_self for view in chosen):
            return []
        return [view for view in chosen if not view.is_self]

    def _order(self) -> list[PeerView]:
        """Return the reachable nodes of this data centre, ranked as in the poll tree."""
        now = self._clock.now()
        view_by_node = {
            view.peer.node: view
            for view in self._directory.views()
            if view.same_data_centre and (view.is_self or view.unreachable_until <= now)
        }
        return [
            view_by_node[peer.node]
            for peer in polling_order(view.peer for view in view_by_node.values())
        ]

    def _readers(self, order: list[PeerView]) -> list[PeerView]:
        now = self._clock.now()
        candidates = order[: self._count * SPARE_READERS_FACTOR]
        usable = [view for view in candidates if not self._is_excluded(view.peer.node, now)]
        return usable[: self._count] or candidates

    def reads_store(self, view: PeerView) -> bool:
        """Return whether a node is one of the readers of this data centre."""
        return any(reader is view for reader in self._readers(self._order()))

    def note_store_rejection(self, view: PeerView) -> None:
        """Exclude for a while a reader that the store does not answer."""
        self._excluded_until[view.peer.node] = self._clock.now() + EXCLUSION_SECONDS

    def readers_of_all_data_centres(self) -> list[PeerView]:
        """Return the readers of all data centres except this node."""
        by_data_centre: dict[DataCentre, dict[NodeId, PeerView]] = {}
        for view in self._directory.views():
            by_data_centre.setdefault(view.peer.data_centre, {})[view.peer.node] = view
        return [
            by_node[peer.node]
            for by_node in by_data_centre.values()
            for peer in polling_order(view.peer for view in by_node.values())[: self._count]
            if not by_node[peer.node].is_self
        ]

    def _is_excluded(self, node: NodeId, now: float) -> bool:
        until = self._excluded_until.get(node)
        if until is None:
            return False
        if until <= now:
            del self._excluded_until[node]
            return False
        return True
