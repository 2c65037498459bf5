"""Which nodes read the platform's store; the others ask one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.membership.reader_choice import choose_readers

if TYPE_CHECKING:
    from hoisthook.identity import DataCentre
    from hoisthook.identity import NodeId
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.port.clock import Clock

# A reader that the store turns away is passed over for this time: an outage lasts for seconds,
# and a reader that is asked in vain costs one question a node.
PASSED_OVER_SECONDS = 3.0
# How many times as many nodes may become readers in place of those that the store turns away.
# Where it turns away a third of the instances, all of four times four are among them once in
# 40 million; the other nodes of the data centre never call the store, however long it is away.
SPARE_READERS_FACTOR = 4


class StoreReaders:
    """A few nodes of each data centre, chosen by each node alone.

    Nodes that could not be reached lately and readers that the store turns away are
    passed over, so that others take their place; where views differ, one reader more or
    fewer does no harm.

    Parameters
    ----------
    directory : PeerDirectory
        Who is there.
    clock : Clock
        Monotonic.
    per_data_centre : int
        How many read in a data centre.
    """

    def __init__(self, directory: PeerDirectory, clock: Clock, per_data_centre: int) -> None:
        self._directory = directory
        self._clock = clock
        self._count = per_data_centre
        self._passed_over_until: dict[NodeId, float] = {}

    def to_ask(self) -> list[PeerView]:
        """Return the readers to ask; none if this node reads the store itself."""
        chosen = self._chosen()
        return [] if any(view.is_self for view in chosen) else chosen

    def others_of_mine(self) -> list[PeerView]:
        """Return the other readers of this data centre; none if this node is no reader."""
        chosen = self._chosen()
        if not any(view.is_self for view in chosen):
            return []
        return [view for view in chosen if not view.is_self]

    def _chosen(self) -> list[PeerView]:
        now = self._clock.now()
        near = {
            view.peer.node: view
            for view in self._directory.views()
            if view.same_data_centre and (view.is_self or view.closed_until <= now)
        }
        candidates = choose_readers(near, self._count * SPARE_READERS_FACTOR)
        usable = [node for node in candidates if not self._is_passed_over(node, now)]
        return [near[node] for node in usable[: self._count] or candidates]

    def turned_away(self, view: PeerView) -> None:
        """Pass over a reader that says that the store does not answer it."""
        self._passed_over_until[view.peer.node] = self._clock.now() + PASSED_OVER_SECONDS

    def everywhere(self) -> list[PeerView]:
        """Return the readers of all data centres but this node."""
        by_data_centre: dict[DataCentre, dict[NodeId, PeerView]] = {}
        for view in self._directory.views():
            by_data_centre.setdefault(view.peer.data_centre, {})[view.peer.node] = view
        return [
            by_node[node]
            for by_node in by_data_centre.values()
            for node in choose_readers(by_node, self._count)
            if not by_node[node].is_self
        ]

    def _is_passed_over(self, node: NodeId, now: float) -> bool:
        until = self._passed_over_until.get(node)
        if until is None:
            return False
        if until <= now:
            del self._passed_over_until[node]
            return False
        return True
