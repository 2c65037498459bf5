"""The state of a node, as reported to operators and in metrics."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.rpc import operator_pb2 as pb

if TYPE_CHECKING:
    from hoisthook.configuration.configuration_follower import ConfigurationFollower
    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.idempotency.key_register import KeyRegister
    from hoisthook.identity import Incarnation
    from hoisthook.measure.measure_budget import MeasureBudget
    from hoisthook.membership.gossip import Gossip
    from hoisthook.membership.member_table import MemberTable
    from hoisthook.membership.pause_guard import PauseGuard
    from hoisthook.node.local_backend import LocalBackend
    from hoisthook.node.node_metrics import NodeMetrics


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Reads the state of a node's components without changing it."""

    node: str
    incarnation: Incarnation
    metrics: NodeMetrics
    local_backend: LocalBackend
    budget: MeasureBudget
    state: ConfigurationState
    follower: ConfigurationFollower
    table: MemberTable
    gossip: Gossip
    register: KeyRegister
    guard: PauseGuard

    def counters(self) -> dict[str, float]:
        """Return totals since the node's start, by metric name."""
        return {
            **self.metrics.counters(),
            "measure.requests": self.budget.spent,
            "measure.bytes": self.budget.bytes_spent,
            "measure.ms": self.budget.seconds_spent * 1000.0,
            "gossip.exchanges": self.gossip.exchanges,
            "gossip.failures": self.gossip.failures,
            "pauses": self.guard.pauses,
        }

    def gauges(self) -> dict[str, float]:
        """Return current values, by metric name."""
        return {
            "running": self.local_backend.gate.running,
            "waiting": self.local_backend.gate.waiting,
            "limit": self.local_backend.gate.limit,
            "members": len(self.table),
            "configuration.offset": self.state.offset,
            "configuration.log_reachable": int(self.follower.log_reachable),
            "configuration.unreadable": self.state.unreadable,
            "keys": len(self.register),
        }

    def status(self) -> pb.NodeStatusReply:
        """Return the reply to the operators' `NodeStatus` call."""
        gate = self.local_backend.gate
        return pb.NodeStatusReply(
            node=self.node,
            incarnation=self.incarnation,
            configuration_offset=self.state.offset,
            members=len(self.table),
            log_reachable=self.follower.log_reachable,
            backend_server=self.local_backend.backend_server,
            backend_server_phase=self.local_backend.state.phase.value,
            running=gate.running,
            waiting=gate.waiting,
            limit=gate.limit,
            measure_requests=self.budget.spent,
            measure_bytes=self.budget.bytes_spent,
            measure_seconds=self.budget.seconds_spent,
            keys=len(self.register),
            pauses=self.guard.pauses,
            evacuated_data_centres=sorted(self.state.evacuated),
        )
