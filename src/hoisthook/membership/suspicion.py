"""Which nodes cannot be reached, as found by several nodes and told to all that ask."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.membership.news_log import NewsLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.identity import NodeId

# One node alone may itself be cut off; two that are not each other's neighbours seldom are.
REPORTERS_NEEDED = 2
# Findings older than this do not add up: what befalls an instance is found by the nodes of a
# data centre within a second or two.
REPORT_LIFE_SECONDS = 5.0
# How often a finding is told. Each question goes to one of two readers, drawn, and a suspicion
# needs two findings at the same one: seven of eight findings reach both with three.
TELLINGS = 3


class Findings:
    """What this node has found out itself and is still to tell its readers."""

    def __init__(self) -> None:
        self._left_by_unreachable: dict[NodeId, int] = {}
        self._left_by_reached: dict[NodeId, int] = {}

    def unreachable(self, node: NodeId) -> None:
        """Note a node that could not be reached."""
        self._left_by_reached.pop(node, None)
        self._left_by_unreachable[node] = TELLINGS

    def reached(self, node: NodeId) -> None:
        """Note a suspected node that takes connections."""
        self._left_by_unreachable.pop(node, None)
        self._left_by_reached[node] = TELLINGS

    def forget_unreachable(self, nodes: Iterable[NodeId]) -> None:
        """Leave out findings that others have overtaken."""
        for node in nodes:
            self._left_by_unreachable.pop(node, None)

    def tell(self) -> tuple[list[NodeId], list[NodeId]]:
        """Return the nodes to tell as unreachable and as reached; count the telling."""
        return _tell(self._left_by_unreachable), _tell(self._left_by_reached)


def _tell(left_by_node: dict[NodeId, int]) -> list[NodeId]:
    told = list(left_by_node)
    for node in told:
        left_by_node[node] -= 1
        if not left_by_node[node]:
            del left_by_node[node]
    return told


class SuspicionTable:
    """What a reader holds of the findings of those that ask it.

    Load pattern: a rack, a data centre or all instances lose power and some do not come back.
    Each node finds each of them out by a request that waits for 100 ms: with 40 of 195 gone and
    five tries a second that takes a node 40 s. Told by others it knows after about two seconds.
    A suspicion costs a node that is sound no more than the probe that clears it for all.
    """

    def __init__(self) -> None:
        self._news = NewsLog()
        self._suspected: set[NodeId] = set()
        self._reported_at: dict[NodeId, dict[NodeId, float]] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the newest change."""
        return self._news.revision

    def report(
        self,
        reporter: NodeId,
        unreachable: Iterable[NodeId],
        reached: Iterable[NodeId],
        now: float,
        known: int,
    ) -> None:
        """Take in the findings of one node.

        Parameters
        ----------
        reporter : NodeId
            Who found them.
        unreachable, reached : iterable of NodeId
            The findings.
        now : float
            The moment.
        known : int
            Revision that the reporter knows. Where it does not know yet that a node was
            cleared, its finding is from before.
        """
        for node in unreachable:
            if self._news.revision_of(node) <= known:
                self._report_unreachable(reporter, node, now)
        for node in reached:
            self._reported_at.pop(node, None)
            if node in self._suspected:
                self._suspected.discard(node)
                self._news.note(node)

    def since(self, revision: int) -> tuple[list[NodeId], list[NodeId]]:
        """Return the nodes suspected, and those cleared, since a revision."""
        changed = self._news.since(revision)
        suspected = [node for node in changed if node in self._suspected]
        return suspected, [node for node in changed if node not in self._suspected]

    def _report_unreachable(self, reporter: NodeId, node: NodeId, now: float) -> None:
        if node in self._suspected:
            return
        reported_at = self._reported_at.setdefault(node, {})
        reported_at[reporter] = now
        recent = [at for at in reported_at.values() if at > now - REPORT_LIFE_SECONDS]
        if len(recent) >= REPORTERS_NEEDED:
            del self._reported_at[node]
            self._suspected.add(node)
            self._news.note(node)
