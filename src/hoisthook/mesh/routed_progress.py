"""What the tries of one routed request have shown so far."""

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
# Refusals that come from the backend server itself, where the request has arrived.
_ARRIVED_CODES = frozenset({ResultCode.BACKEND_SERVER_SHED, ResultCode.BACKEND_SERVER_REPLACED})
# Refusals of a direct start by nodes at which the request may still wait.
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
    """What is known of a request, and whether another try may help it.

    Attributes
    ----------
    call : RoutedCall
        The request; what its next try must know is noted there.
    asked : set of NodeId
        Nodes that have refused to start it at once.
    left_out : set of NodeId
        Nodes that are not tried any more.
    queue_tries, tries : int
        Nodes at which it was to wait; all tries.
    ran : int
        Backend servers that may have run it.
    rejected : int
        Backend servers that have rejected it.
    refused_repeats : int
        Nodes at which the budget of repeats had no room for it.
    lost_outcomes : int
        Nodes that it was sent to whole and that were lost before they had said that they run it.
    pending_outcomes : dict
        By what will be heard of it, the nodes that are silent and may still run it.
    node : str
        The last one tried.
    answer : CompleteAnswer or None
        The one to hand on.
    tries_end : bool
        Whether no further try may be made.
    is_refused : bool
        Whether a refusal holds for all nodes.
    """

    call: RoutedCall
    asked: set[NodeId] = field(default_factory=set)
    left_out: set[NodeId] = field(default_factory=set)
    queue_tries: int = 0
    tries: int = 0
    ran: int = 0
    rejected: int = 0
    refused_repeats: int = 0
    lost_outcomes: int = 0
    pending_outcomes: dict[asyncio.Task[Outcome], NodeId] = field(default_factory=dict)
    node: str = ""
    answer: CompleteAnswer | None = None
    tries_end: bool = False
    is_refused: bool = False
    _unknown: Lost | None = None
    _failed: CompleteAnswer | None = None
    _soonest: float = float("inf")
    _code: ResultCode = ResultCode.NO_BACKEND_SERVER

    @property
    def arrived(self) -> int:
        """Return how many backend servers it may have reached."""
        return self._may_run + self.rejected

    @property
    def _may_run(self) -> int:
        return self.ran + self.lost_outcomes + len(self.pending_outcomes)

    def take(self, node: NodeId, outcome: Outcome | PendingOutcome, now: float) -> None:
        """Take in what became of a try."""
        if isinstance(outcome, Refused):
            self._refused(node, outcome)
            return
        self.left_out.add(node)
        if isinstance(outcome, PendingOutcome):
            self.pending_outcomes[outcome.outcome_task] = node
            if self.call.arrival is Arrival.FIRST:
                self.call.arrival = Arrival.UNHEARD
            self._goes_on(now)
        elif isinstance(outcome, Lost) and not outcome.admitted:
            self._unknown = outcome
            self.lost_outcomes += 1
            self._goes_on(now)
        else:
            self._ran(outcome, now)

    def take_late(self, now: float) -> None:
        """Take in what has been heard of nodes that were silent."""
        for task in [task for task in self.pending_outcomes if task.done()]:
            node = self.pending_outcomes.pop(task)
            outcome = task.result()
            if isinstance(outcome, Refused):
                self._not_run_after_all()
            self.take(node, outcome, now)

    def withdraw(self) -> None:
        """Give up what is still unheard."""
        for task in self.pending_outcomes:
            task.cancel()

    def conclude(self, min_retry_after: float) -> Outcome:
        """Return the last word of a request that was not answered.

        Not the last outcome alone: after a try that may have run, a refusal says too much.
        """
        if self._failed is not None:
            return self._failed
        if self._unknown is not None:
            return self._unknown
        if self.pending_outcomes:
            return Lost(ResultCode.ANSWER_LOST, admitted=False, is_silent=True)
        return Refused(self._code, max(min_retry_after, self._soonest))

    def _not_run_after_all(self) -> None:
        self.tries_end = False
        self._hold_back_last()
        if self._may_run + self.rejected == 0:
            # It has arrived nowhere.
            self.call.arrival = Arrival.FIRST

    def _refused(self, node: NodeId, refused: Refused) -> None:
        self.asked.add(node)
        self._code = refused.code
        self._soonest = min(self._soonest, refused.retry_after)
        if refused.code is ResultCode.RETRY_BUDGET_SPENT:
            self.refused_repeats += 1
        if refused.code in _ARRIVED_CODES:
            self.rejected += 1
            if self.call.arrival is not Arrival.RERUN:
                self.call.arrival = Arrival.REDIRECTED
            if refused.code is ResultCode.BACKEND_SERVER_SHED:
                self.left_out.add(node)
            return
        if refused.code not in _MAY_QUEUE_CODES:
            self.left_out.add(node)
        if refused.code in _FINAL_CODES:
            self.is_refused = self.tries_end = True

    def _ran(self, outcome: CompleteAnswer | Lost, now: float) -> None:
        self.ran += 1
        if isinstance(outcome, Lost):
            self._unknown = outcome
            if outcome.code is ResultCode.DEADLINE_DURING_RUN:
                self.tries_end = True
        elif outcome.status not in FAILURE_STATUSES:
            self.answer = outcome
            return
        else:
            self._failed = outcome
        if not self.call.repeatable:
            self.tries_end = True
        self.call.arrival = Arrival.RERUN
        self._goes_on(now)

    def _goes_on(self, now: float) -> None:
        if self._may_run >= self.call.max_attempts or self.call.target_left(now) <= 0:
            self.tries_end = True
        self._hold_back_last()

    def _hold_back_last(self) -> None:
        """Have the last backend server that may run it ask for it, so that it runs on no more."""
        if self.call.repeatable:
            self.call.held_back = self._may_run + 1 >= self.call.max_attempts
