"""Which nodes are unreachable, as reported by several nodes and passed on to polling nodes."""

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

# A single reporter may itself be cut off from the network; two that are not neighbours seldom are.
REPORTERS_NEEDED = 2
# Older reports do not count towards a suspicion: the nodes of a data centre notice the failure of
# an instance within a second or two of each other.
REPORT_TTL_SECONDS = 5.0
# Sent several times because polls go to the readers in turn, and a suspicion needs two reports at
# the same reader.
SENDS_PER_REPORT = 3
# The age of one report that arrives over two paths differs by the transit time of the messages.
SAME_REPORT_TOLERANCE_SECONDS = 0.5


class ReachabilityReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report that a node could not be reached, or that it could be reached again.

    Attributes
    ----------
    node : NodeId
        The node that the report is about.
    reached : bool
        Whether it could be reached.
    age : float
        Seconds since the observation; an age, as the clocks of instances differ.
    reporter : NodeId
        The node that observed it; empty where it is the sender.
    """

    node: NodeId
    reached: bool
    age: float
    reporter: NodeId = NodeId("")


@dataclass(slots=True)
class _RelayedReport:
    """Report of another node that is to be forwarded."""

    reached: bool
    observed_at: float
    sends_left: int = SENDS_PER_REPORT


class ReachabilityReports:
    """Recent observations of this node, and reports of others that it forwards."""

    def __init__(self) -> None:
        self._observation_by_node: dict[NodeId, tuple[bool, float]] = {}
        self._sends_left_by_node: dict[NodeId, int] = {}
        self._relayed_by_reporter_and_node: dict[tuple[NodeId, NodeId], _RelayedReport] = {}

    def note(self, node: NodeId, now: float, *, reached: bool) -> None:
        """Record that a node could not be reached, or that a suspected one could."""
        self._observation_by_node[node] = (reached, now)
        self._sends_left_by_node[node] = SENDS_PER_REPORT

    def relay(self, sender: NodeId, reports: Iterable[ReachabilityReport], now: float) -> None:
        """Queue reports of another node to be forwarded, so that they reach a reader.

        A report that was queued before is not queued again, so that two nodes that forward to
        each other do not send it for ever.
        """
        for report in reports:
            key = (report.reporter or sender, report.node)
            observed_at = now - report.age
            known = self._relayed_by_reporter_and_node.get(key)
            if known is None or observed_at > known.observed_at + SAME_REPORT_TOLERANCE_SECONDS:
                self._relayed_by_reporter_and_node[key] = _RelayedReport(
                    report.reached, observed_at
                )

    def current(self, now: float) -> list[ReachabilityReport]:
        """Return this node's own reports that have not expired."""
        self._observation_by_node = {
            node: observation
            for node, observation in self._observation_by_node.items()
            if observation[1] > now - REPORT_TTL_SECONDS
        }
        return [
            ReachabilityReport(node, reached, now - observed_at)
            for node, (reached, observed_at) in self._observation_by_node.items()
        ]

    def take_due(self, now: float) -> list[ReachabilityReport]:
        """Return the reports for the next poll; each is returned `SENDS_PER_REPORT` times."""
        due = [report for report in self.current(now) if report.node in self._sends_left_by_node]
        for report in due:
            self._sends_left_by_node[report.node] -= 1
        self._sends_left_by_node = {
            node: sends_left
            for node, sends_left in self._sends_left_by_node.items()
            if sends_left and node in self._observation_by_node
        }
        due.extend(self._take_relayed(now))
        return due

    def _take_relayed(self, now: float) -> Iterator[ReachabilityReport]:
        self._relayed_by_reporter_and_node = {
            key: relayed
            for key, relayed in self._relayed_by_reporter_and_node.items()
            if relayed.observed_at > now - REPORT_TTL_SECONDS
        }
        for (reporter, node), relayed in self._relayed_by_reporter_and_node.items():
            if relayed.sends_left > 0:
                relayed.sends_left -= 1
                yield ReachabilityReport(node, relayed.reached, now - relayed.observed_at, reporter)


class SuspicionTable:
    """Suspected nodes, as a reader derives them from the reports of the nodes that poll it.

    Load pattern: a rack, a data centre or all instances lose power and some do not come back.
    A node that detects each of them by itself spends a request that waits for 100 ms on each:
    with 40 of 195 unavailable and five tries per second that takes 40 s, with the reports of
    others 2 s (both calculated). A suspected node that is available costs one probe, which
    clears it on all nodes.
    """

    def __init__(self) -> None:
        self._change_log = ChangeLog()
        self._suspected: set[NodeId] = set()
        self._reports_by_node: dict[NodeId, dict[NodeId, float]] = {}
        self._reached_at: dict[NodeId, float] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the newest change."""
        return self._change_log.revision

    def report(self, reporter: NodeId, reports: Iterable[ReachabilityReport], now: float) -> None:
        """Apply the reports of one node; a report that is applied twice counts once."""
        for report in reports:
            observed_at = now - report.age
            if report.reached:
                self.reached(report.node, observed_at)
            else:
                source = report.reporter or reporter
                self._report_unreachable(source, report.node, observed_at, now)

    def adopt(self, nodes: Iterable[NodeId], now: float) -> list[NodeId]:
        """Suspect nodes that another node's table suspects; return those accepted.

        A node that was reached within `REPORT_TTL_SECONDS` is not accepted, as the suspicion is
        from before that.
        """
        accepted = [
            node
            for node in nodes
            if self._reached_at.get(node, -math.inf) <= now - REPORT_TTL_SECONDS
        ]
        for node in accepted:
            if node not in self._suspected:
                self._suspected.add(node)
                self._change_log.note(node)
        return accepted

    def reached(self, node: NodeId, at: float) -> None:
        """Record that a node was reached at time ``at``, and clear it if it was suspected."""
        if at <= self._reached_at.get(node, -math.inf):
            return
        self._reached_at[node] = at
        self._reports_by_node.pop(node, None)
        if node in self._suspected:
            self._suspected.discard(node)
            self._change_log.note(node)

    def since(self, revision: int) -> tuple[list[NodeId], list[NodeId]]:
        """Return the nodes that were suspected, and those that were cleared, since a revision."""
        changed = self._change_log.since(revision)
        suspected = [node for node in changed if node in self._suspected]
        return suspected, [node for node in changed if node not in self._suspected]

    def _report_unreachable(
        self, reporter: NodeId, node: NodeId, observed_at: float, now: float
    ) -> None:
        # A report is sent several times, and may be from before the node was reached again.
        if node in self._suspected or observed_at <= self._reached_at.get(node, -math.inf):
            return
        observed_at_by_reporter = self._reports_by_node.setdefault(node, {})
        observed_at_by_reporter[reporter] = observed_at
        recent = [at for at in observed_at_by_reporter.values() if at > now - REPORT_TTL_SECONDS]
        if len(recent) >= REPORTERS_NEEDED:
            del self._reports_by_node[node]
            self._suspected.add(node)
            self._change_log.note(node)
