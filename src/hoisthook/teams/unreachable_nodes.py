"""Which nodes did not answer, and when to try them again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import NodeId

# Where two nodes give out the same quota since one was out of reach, this bounds for how long.
FIRST_PAUSE_SECONDS = 0.3
MAX_PAUSE_SECONDS = 1.0


@dataclass(slots=True)
class _Away:
    pause: float
    probed_at: float


class UnreachableNodes:
    """Nodes that are passed over until one of them has answered beside the requests.

    Only the first request that meets a silent node waits for it.
    """

    def __init__(self) -> None:
        self._by_node: dict[NodeId, _Away] = {}

    def __contains__(self, node: NodeId) -> bool:
        return node in self._by_node

    def silent(self, node: NodeId, now: float) -> None:
        """Note that a node did not answer."""
        known = self._by_node.get(node)
        pause = FIRST_PAUSE_SECONDS if known is None else min(MAX_PAUSE_SECONDS, 2 * known.pause)
        self._by_node[node] = _Away(pause, now)

    def answered(self, node: NodeId) -> None:
        """Note that it answered."""
        self._by_node.pop(node, None)

    def is_probe_due(self, node: NodeId, now: float) -> bool:
        """Return whether it is to be tried again now, which is said once a pause."""
        away = self._by_node.get(node)
        if away is None or now - away.probed_at < away.pause:
            return False
        away.probed_at = now
        return True
