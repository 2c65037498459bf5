"""The state of one routed request over its tries."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.outcome import PendingOutcome
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival import Arrival

if TYPE_CHECKING:
    import asyncio

    from hoisthook.identity import NodeId
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.routed_call import RoutedCall

FAILURE_STATUSES = frozenset({500, 502, 503})
# Refusals by the backend server itself: the request has arrived there.
_ARRIVED_CODES = frozenset({ResultCode.BACKEND_SERVER_SHED, ResultCode.BACKEND_SERVER_REPLACED})
# Refusals to start a request at once, by nodes at which it may still be queued.
_MAY_QUEUE_CODES = frozenset(
    {
        ResultCode.SLOTS_FULL,
        ResultCode.BACKEND_SERVER_SLOW,
        ResultCode.BACKEND_SERVER_COLD,
        ResultCode.NODE_LEAVING,
    }
)
# Refusals that hold for all nodes of the service.
_FINAL_CODES = frozenset({ResultCode.DEADLINE_PASSED, ResultCode.WORK_ENDS_SERVERS})


@dataclass(slots=True)
class RoutedProgress:
    """Records the outcomes of a request's tries and decides whether another may be made.

    Attributes
    ----------
    call : RoutedCall
        The request; updated with what its next try depends on.
    refused_by : set of NodeId
        Nodes that have refused the request.
    excluded : set of NodeId
        Nodes that are not tried any more.
    queue_tries, tries : int
        Number of tries in which the request could be queued; number of all tries.
    ran : int
        Number of backend servers that may have executed the request.
    rejected : int
        Number of backend servers that have rejected it.
    refused_repeats : int
        Number of nodes that refused it because the repeat budget was spent.
    lost_outcomes : int
        Number of nodes that were sent the complete request and whose connection was lost before
        they acknowledged it.
    pending_outcomes : dict
        Nodes that are silent and may still execute the request, by the task that returns the
        outcome.
    node : str
        Last node tried.
    answer : CompleteAnswer or None
        Answer to forward to the caller.
    is_refusal_final : bool
        Whether a refusal holds for all nodes.
    """

    call: RoutedCall
    refused_by: set[NodeId] = field(default_factory=set)
    excluded: set[NodeId] = field(default_factory=set)
    queue_tries: int = 0
    tries: int = 0
    ran: int = 0
    rejected: int = 0
    refused_repeats: int = 0
    lost_outcomes: int = 0
    pending_outcomes: dict[asyncio.Task[Outcome], NodeId] = field(default_factory=dict)
    node: str = ""
    answer: CompleteAnswer | None = None
    is_refusal_final: bool = False
    _is_over: bool = False
    _is_limit_reached: bool = False
    _lost: Lost | None = None
    _failure: CompleteAnswer | None = None
    _shortest_retry_after: float = float("inf")
    _refusal_code: ResultCode = ResultCode.NO_BACKEND_SERVER

    @property
    def arrived(self) -> int:
        """Return the number of backend servers that the request may have reached."""
        return self._may_run + self.rejected

    @property
    def no_more_tries(self) -> bool:
        """Return whether no further try may be made."""
        return self._is_over or self._is_limit_reached

    @property
    def _may_run(self) -> int:
        return self.ran + self.lost_outcomes + len(self.pending_outcomes)

    def record(self, node: NodeId, outcome: Outcome | PendingOutcome, now: float) -> None:
        """Record the outcome of a try."""
        if isinstance(outcome, Refused):
            self._record_refusal(node, outcome)
            return
        self.excluded.add(node)
        if isinstance(outcome, PendingOutcome):
            self.pending_outcomes[outcome.outcome_task] = node
            if self.call.arrival is Arrival.FIRST:
                self.call.arrival = Arrival.UNHEARD
            self._limit_tries(now)
        elif isinstance(outcome, Lost) and not outcome.admitted:
            self._lost = outcome
            self.lost_outcomes += 1
            self._limit_tries(now)
        else:
            self._record_execution(outcome, now)

    def record_late(self, now: float) -> None:
        """Record the outcomes received from nodes that were silent."""
        for task in [task for task in self.pending_outcomes if task.done()]:
            node = self.pending_outcomes.pop(task)
            outcome = task.result()
            if isinstance(outcome, Refused):
                self._retract_attempt(now)
            self.record(node, outcome, now)

    def cancel_pending(self) -> None:
        """Cancel the request at all nodes whose outcome is pending."""
        for task in self.pending_outcomes:
            task.cancel()

    def resolve(self, min_retry_after: float) -> Outcome:
        """Return the final outcome of a request that was not answered.

        This is not always the last outcome: after a try that may have been executed, a refusal
        would wrongly state that the request has not run.

        Parameters
        ----------
        min_retry_after : float
            Lower bound for the seconds after which the caller is to try again.
        """
        if self._failure is not None:
            return self._failure
        if self._lost is not None:
            return self._lost
        if self.pending_outcomes:
            return Lost(ResultCode.ANSWER_LOST, admitted=False, is_silent=True)
        return Refused(self._refusal_code, max(min_retry_after, self._shortest_retry_after))

    def _retract_attempt(self, now: float) -> None:
        """Undo what the start of an attempt that did not run has limited, and nothing else."""
        self._is_limit_reached = False
        if self._may_run:
            self._limit_tries(now)
        self._hold_back_last_attempt()
        if self._may_run + self.rejected == 0:
            # The request has not reached any backend server.
            self.call.arrival = Arrival.FIRST

    def _record_refusal(self, node: NodeId, refused: Refused) -> None:
        self.refused_by.add(node)
        self._refusal_code = refused.code
        self._shortest_retry_after = min(self._shortest_retry_after, refused.retry_after)
        if refused.code is ResultCode.RETRY_BUDGET_SPENT:
            self.refused_repeats += 1
        if refused.code in _ARRIVED_CODES:
            self.rejected += 1
            if self.call.arrival is not Arrival.RERUN:
                self.call.arrival = Arrival.REDIRECTED
            if refused.code is ResultCode.BACKEND_SERVER_SHED:
                self.excluded.add(node)
            return
        if refused.code not in _MAY_QUEUE_CODES:
            self.excluded.add(node)
        if refused.code in _FINAL_CODES:
            self.is_refusal_final = self._is_over = True

    def _record_execution(self, outcome: CompleteAnswer | Lost, now: float) -> None:
        self.ran += 1
        if isinstance(outcome, Lost):
            self._lost = outcome
            if outcome.code is ResultCode.DEADLINE_DURING_RUN:
                self._is_over = True
        elif outcome.status not in FAILURE_STATUSES:
            self.answer = outcome
            return
        else:
            self._failure = outcome
        if not self.call.repeatable:
            self._is_over = True
        self.call.arrival = Arrival.RERUN
        self._limit_tries(now)

    def _limit_tries(self, now: float) -> None:
        if self._may_run >= self.call.max_attempts or self.call.target_left(now) <= 0:
            self._is_limit_reached = True
        self._hold_back_last_attempt()

    def _hold_back_last_attempt(self) -> None:
        """Hold back the last attempt, so that no more backend servers than allowed execute it."""
        if self.call.repeatable:
            self.call.held_back = self._may_run + 1 >= self.call.max_attempts
