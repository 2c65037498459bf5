"""Which nodes read the platform's store; the others ask one of them."""

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
        """Return the nodes to ask in turn; none if this node reads the store itself."""
        order = self._order()
        readers = self._readers(order)
        if any(view.is_self for view in readers):
            return []
        now = self._clock.now()
        if all(self._is_passed_over(view.peer.node, now) for view in readers):
            return readers
        usable = [view for view in order if not self._is_passed_over(view.peer.node, now)]
        place = next(place for place, view in enumerate(usable) if view.is_self)
        return [usable[asked] for asked in poll_positions(place, self._count)]

    def others_of_mine(self) -> list[PeerView]:
        """Return the other readers of this data centre; none if this node is no reader."""
        chosen = self._readers(self._order())
        if not any(view.is_self for view in chosen):
            return []
        return [view for view in chosen if not view.is_self]

    def _order(self) -> list[PeerView]:
        """Return the nodes of this data centre that can be reached, in the order of asking."""
        now = self._clock.now()
        near = {
            view.peer.node: view
            for view in self._directory.views()
            if view.same_data_centre and (view.is_self or view.away_until <= now)
        }
        return [near[peer.node] for peer in polling_order(view.peer for view in near.values())]

    def _readers(self, order: list[PeerView]) -> list[PeerView]:
        now = self._clock.now()
        candidates = order[: self._count * SPARE_READERS_FACTOR]
        usable = [view for view in candidates if not self._is_passed_over(view.peer.node, now)]
        return usable[: self._count] or candidates

    def turned_away(self, view: PeerView) -> None:
        """Pass over a reader that says that the store does not answer it."""
        self._passed_over_until[view.peer.node] = self._clock.now() + PASSED_OVER_SECONDS

    def everywhere(self) -> list[PeerView]:
        """Return the readers of all data centres but this node."""
        by_data_centre: dict[DataCentre, dict[NodeId, PeerView]] = {}
        for view in self._directory.views():
            by_data_centre.setdefault(view.peer.data_centre, {})[view.peer.node] = view
        return [
            by_node[peer.node]
            for by_node in by_data_centre.values()
            for peer in polling_order(view.peer for view in by_node.values())[: self._count]
            if not by_node[peer.node].is_self
        ]

    def _is_passed_over(self, node: NodeId, now: float) -> bool:
        until = self._passed_over_until.get(node)
        if until is None:
            return False
        if until <= now:
            del self._passed_over_until[node]
            return False
        return True
