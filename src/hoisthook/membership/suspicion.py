"""Which nodes cannot be reached, as found by several nodes and told to all that ask."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hoisthook.identity import NodeId
from hoisthook.membership.change_log import ChangeLog

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# One node alone may itself be cut off; two that are not each other's neighbours seldom are.
REPORTERS_NEEDED = 2
# Findings older than this do not add up: what befalls an instance is found by the nodes of a
# data centre within a second or two.
REPORT_LIFE_SECONDS = 5.0
# How often a finding is told: questions go to the readers in turn, and a suspicion needs two
# findings at the same one.
TELLINGS = 3
# The same finding told on two ways differs in age by the time that the messages took.
SAME_FINDING_SECONDS = 0.5


class ReachabilityReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """A node that could not be reached, or could be again.

    Attributes
    ----------
    node : NodeId
        Which.
    reached : bool
        Whether it could.
    age : float
        Seconds since that was found; clocks of instances differ.
    reporter : NodeId
        Who found it; empty where it is the sender.
    """

    node: NodeId
    reached: bool
    age: float
    reporter: NodeId = NodeId("")


@dataclass(slots=True)
class _Relayed:
    """Another node's finding that is to be handed on."""

    reached: bool
    at: float
    left: int = TELLINGS


class ReachabilityReports:
    """What this node has found out lately, and what it hands on of others' findings."""

    def __init__(self) -> None:
        self._found: dict[NodeId, tuple[bool, float]] = {}
        self._left_by_node: dict[NodeId, int] = {}
        self._relayed: dict[tuple[NodeId, NodeId], _Relayed] = {}

    def note(self, node: NodeId, now: float, *, reached: bool) -> None:
        """Note that a node could not be reached, or that a suspected one could."""
        self._found[node] = (reached, now)
        self._left_by_node[node] = TELLINGS

    def relay(self, sender: NodeId, findings: Iterable[ReachabilityReport], now: float) -> None:
        """Hand on what another node told: it leads to a reader in a few steps.

        A finding that was handed on already is not handed on again, so that two nodes that tell
        each other come to an end.
        """
        for report in findings:
            key = (report.reporter or sender, report.node)
            at = now - report.age
            known = self._relayed.get(key)
            if known is None or at > known.at + SAME_FINDING_SECONDS:
                self._relayed[key] = _Relayed(report.reached, at)

    def current(self, now: float) -> list[ReachabilityReport]:
        """Return what was found lately."""
        self._found = {
            node: found
            for node, found in self._found.items()
            if found[1] > now - REPORT_LIFE_SECONDS
        }
        return [
            ReachabilityReport(node, reached, now - at)
            for node, (reached, at) in self._found.items()
        ]

    def tell(self, now: float) -> list[ReachabilityReport]:
        """Return what is to be told to a reader, each finding a few times."""
        told = [report for report in self.current(now) if report.node in self._left_by_node]
        for report in told:
            self._left_by_node[report.node] -= 1
        self._left_by_node = {
            node: left for node, left in self._left_by_node.items() if left and node in self._found
        }
        told.extend(self._tell_relayed(now))
        return told

    def _tell_relayed(self, now: float) -> Iterator[ReachabilityReport]:
        self._relayed = {
            key: found
            for key, found in self._relayed.items()
            if found.at > now - REPORT_LIFE_SECONDS
        }
        for (reporter, node), found in self._relayed.items():
            if found.left > 0:
                found.left -= 1
                yield ReachabilityReport(node, found.reached, now - found.at, reporter)


class SuspicionTable:
    """What a reader holds of the findings of those that ask it.

    Load pattern: a rack, a data centre or all instances lose power and some do not come back.
    Each node finds each of them out by a request that waits for 100 ms: with 40 of 195 gone and
    five tries a second that takes a node 40 s, told by others two (both worked out). A suspicion
    costs a node that is sound no more than the probe that clears it for all.
    """

    def __init__(self) -> None:
        self._change_log = ChangeLog()
        self._suspected: set[NodeId] = set()
        self._reported_at: dict[NodeId, dict[NodeId, float]] = {}
        self._reached_at: dict[NodeId, float] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the newest change."""
        return self._change_log.revision

    def report(self, reporter: NodeId, findings: Iterable[ReachabilityReport], now: float) -> None:
        """Take in the findings of one node; taken in twice they count once."""
        for report in findings:
            found_at = now - report.age
            if report.reached:
                self.reached(report.node, found_at)
            else:
                source = report.reporter or reporter
                self._report_unreachable(source, report.node, found_at, now)

    def adopt(self, nodes: Iterable[NodeId], now: float) -> list[NodeId]:
        """Suspect nodes on the word of a table that had the findings; return those taken.

        One that was reached a short while ago is not: that word is older.
        """
        taken = [
            node
            for node in nodes
            if self._reached_at.get(node, -math.inf) <= now - REPORT_LIFE_SECONDS
        ]
        for node in taken:
            if node not in self._suspected:
                self._suspected.add(node)
                self._change_log.note(node)
        return taken

    def reached(self, node: NodeId, at: float) -> None:
        """Take in that a node could be reached at some moment."""
        if at <= self._reached_at.get(node, -math.inf):
            return
        self._reached_at[node] = at
        self._reported_at.pop(node, None)
        if node in self._suspected:
            self._suspected.discard(node)
            self._change_log.note(node)

    def since(self, revision: int) -> tuple[list[NodeId], list[NodeId]]:
        """Return the nodes suspected, and those cleared, since a revision."""
        changed = self._change_log.since(revision)
        suspected = [node for node in changed if node in self._suspected]
        return suspected, [node for node in changed if node not in self._suspected]

    def _report_unreachable(
        self, reporter: NodeId, node: NodeId, found_at: float, now: float
    ) -> None:
        # A finding is told several times, and may be from before the node was reached again.
        if node in self._suspected or found_at <= self._reached_at.get(node, -math.inf):
            return
        reported_at = self._reported_at.setdefault(node, {})
        reported_at[reporter] = found_at
        recent = [at for at in reported_at.values() if at > now - REPORT_LIFE_SECONDS]
        if len(recent) >= REPORTERS_NEEDED:
            del self._reported_at[node]
            self._suspected.add(node)
            self._change_log.note(node)
