"""Share of a service's concurrency limit for one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

NODE_MEMORY_SECONDS = 30.0


class ConcurrencyShare:
    """Divides a limit among the nodes observed recently, so that the shares add up to it.

    A node counts for `NODE_MEMORY_SECONDS` after it was last observed, so that
    the two sides of a network partition do not each take the full limit at
    once. The share of a node that does not know its peers yet is too large:
    the limit is exact only once all nodes have the same view.

    Parameters
    ----------
    node : str
        Id of this node.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._seen_at_by_node: dict[str, float] = {}

    def observe(self, nodes: Collection[str], now: float) -> None:
        """Record which nodes serve the service now."""
        for node in nodes:
            self._seen_at_by_node[node] = now
        self._seen_at_by_node[self._node] = now
        for node, seen_at in list(self._seen_at_by_node.items()):
            if now - seen_at > NODE_MEMORY_SECONDS:
                del self._seen_at_by_node[node]

    def of(self, limit: int) -> int:
        """Return this node's share of ``limit``."""
        nodes = sorted(self._seen_at_by_node) or [self._node]
        rank = nodes.index(self._node) if self._node in self._seen_at_by_node else 0
        quotient, remainder = divmod(limit, len(nodes))
        return quotient + (1 if rank < remainder else 0)
