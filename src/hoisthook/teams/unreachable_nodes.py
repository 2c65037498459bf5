"""Nodes that did not answer, and when to probe them again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import NodeId

# Pauses between probes. While the owner of a quota is assumed unreachable, two nodes may grant the
# same quota; the longest pause bounds for how long.
FIRST_PAUSE_SECONDS = 0.3
MAX_PAUSE_SECONDS = 1.0


@dataclass(slots=True)
class _ProbeState:
    pause: float
    probed_at: float


class UnreachableNodes:
    """Nodes that requests skip until a probe in the background has been answered.

    Only the first request that meets an unresponsive node waits for its timeout.
    """

    def __init__(self) -> None:
        self._by_node: dict[NodeId, _ProbeState] = {}

    def __contains__(self, node: NodeId) -> bool:
        return node in self._by_node

    def mark_unreachable(self, node: NodeId, now: float) -> None:
        """Record that a node did not answer; its next pause is longer."""
        previous = self._by_node.get(node)
        pause = (
            FIRST_PAUSE_SECONDS if previous is None else min(MAX_PAUSE_SECONDS, 2 * previous.pause)
        )
        self._by_node[node] = _ProbeState(pause, now)

    def mark_reachable(self, node: NodeId) -> None:
        """Record that a node answered."""
        self._by_node.pop(node, None)

    def is_probe_due(self, node: NodeId, now: float) -> bool:
        """Return whether to probe a node now; true once per pause."""
        state = self._by_node.get(node)
        if state is None or now - state.probed_at < state.pause:
            return False
        state.probed_at = now
        return True
