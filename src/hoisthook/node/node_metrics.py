"""Counts decisions before they are logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.node.call import Call
    from hoisthook.node.dispatcher import Dispatched
    from hoisthook.port.decision_log import DecisionLog
    from hoisthook.result_code import ResultCode


class NodeMetrics:
    """A `DecisionLog` that counts decisions and forwards them to another one.

    Parameters
    ----------
    log : DecisionLog
        Receives everything that is logged here.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._count_by_name: dict[str, float] = {}

    def routed(self, call: Call, done: Dispatched, code: ResultCode, cost: float) -> None:
        """Count a call by its result code, its attempts, and its duration."""
        self._add(f"calls.{code.name.lower()}", 1)
        self._add("attempts", done.attempts)
        self._add("calls.ms", cost * 1000.0)
        self._log.routed(call, done, code, cost)

    def refused(self, call: Call, backend_server: str, code: ResultCode) -> None:
        """Count a refusal by the local backend server's node."""
        self._add(f"refusals.{code.name.lower()}", 1)
        self._log.refused(call, backend_server, code)

    def event(self, name: str, **fields: object) -> None:
        """Forward an event."""
        self._log.event(name, **fields)

    def counters(self) -> dict[str, float]:
        """Return all totals since the start."""
        return dict(self._count_by_name)

    def _add(self, name: str, amount: float) -> None:
        self._count_by_name[name] = self._count_by_name.get(name, 0.0) + amount
