"""One backend server's part of a service's concurrency limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

MEMORY_SECONDS = 30.0


class ConcurrencyShare:
    """Divides a limit by the nodes seen lately, so that the parts add up to it.

    Nodes seen within `MEMORY_SECONDS` count although they are gone, so that two
    halves of a parted network do not each take the whole limit at once. While a
    node has not yet heard of its siblings its part is too large; the limit is
    exact only once their views agree.

    Parameters
    ----------
    node : str
        This node.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._seen_at_by_node: dict[str, float] = {}

    def observe(self, nodes: Collection[str], now: float) -> None:
        """Note which nodes serve the service now."""
        for node in nodes:
            self._seen_at_by_node[node] = now
        self._seen_at_by_node[self._node] = now
        for node, seen_at in list(self._seen_at_by_node.items()):
            if now - seen_at > MEMORY_SECONDS:
                del self._seen_at_by_node[node]

    def of(self, limit: int) -> int:
        """Return this node's part of ``limit``."""
        nodes = sorted(self._seen_at_by_node) or [self._node]
        rank = nodes.index(self._node) if self._node in self._seen_at_by_node else 0
        whole, rest = divmod(limit, len(nodes))
        return whole + (1 if rank < rest else 0)
