"""Which nodes follow the configuration in the store; the others ask one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.membership.reader_choice import choose_readers

if TYPE_CHECKING:
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.port.clock import Clock


class StoreReaders:
    """A few nodes of each data centre, chosen by each node alone.

    Nodes that could not be reached lately are passed over, so that others take their
    place; where views differ, one reader more or fewer does no harm.

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

    def to_ask(self) -> list[PeerView]:
        """Return the readers to ask; none if this node reads the store itself."""
        now = self._clock.now()
        near = {
            view.peer.node: view
            for view in self._directory.views()
            if view.same_data_centre and (view.is_self or view.closed_until <= now)
        }
        chosen = choose_readers(near, self._count)
        if self._directory.me.node in chosen:
            return []
        return [view for node, view in near.items() if node in chosen]
