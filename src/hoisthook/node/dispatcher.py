"""Attempts, retries and hedges of calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.node.answer import Answer
from hoisthook.node.attempt import Attempt
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.node.dispatch_progress import DispatchProgress
from hoisthook.node.hedge_race import HedgeRace
from hoisthook.result_code import ResultCode
from hoisthook.retry.hedge_timer import HedgeTimer
from hoisthook.retry.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from hoisthook.membership.member_table import MemberTable
    from hoisthook.node.call import Call
    from hoisthook.node.hop_client import HopClient
    from hoisthook.node.local_backend import RunResult
    from hoisthook.port.clock import Clock
    from hoisthook.routing.candidate import Candidate
    from hoisthook.routing.router import Router

MAX_ATTEMPTS = 6
NO_BACKEND_SERVER_RETRY_SECONDS = 0.5
CLOSING_CODES = frozenset(
    {
        ResultCode.BACKEND_SERVER_DRAINING,
        ResultCode.BACKEND_SERVER_EJECTED,
        ResultCode.CONFIGURATION_MISSING,
        ResultCode.INCARNATION_MISMATCH,
        ResultCode.NODE_STOPPING,
        ResultCode.NODE_RESUMING,
        ResultCode.UNREACHABLE,
        ResultCode.NO_BACKEND_SERVER,
    }
)

# Refusals that hold for all nodes of the service.
FINAL_CODES = frozenset({ResultCode.DEADLINE_PASSED, ResultCode.WORK_ENDS_SERVERS})


@dataclass(slots=True)
class Dispatched:
    """The outcome of a call.

    Attributes
    ----------
    result : Answer, Refused or Lost
        The final result.
    attempts : int
        The number of attempts, including hedges.
    node : str
        The node that the last attempt went to.
    reason : str
        Why the last attempt was made.
    """

    result: RunResult
    attempts: int
    node: str
    reason: str


class ServiceRetryState:
    """Retry budget and hedge timer of one service at this ingress node."""

    def __init__(self, percent: float) -> None:
        self.budget = RetryBudget(percent)
        self.timer = HedgeTimer()


class Dispatcher:
    """Sends a call to backend servers until one runs it, within its deadline and budgets.

    A refusal costs the refusing backend server nothing, so the next one is tried
    at once; when those tried are full, the call waits at the one with the shortest
    queue. A call whose answer was lost is retried only if it is repeatable and the
    retry budget allows it.

    Parameters
    ----------
    router : Router
        Chooses the backend server of each attempt.
    client : HopClient
        Runs the attempts.
    table : MemberTable
        Notified of nodes that cannot be reached.
    clock : Clock
        Monotonic.
    hedging : bool
        False for baseline policies, which never hedge.
    """

    def __init__(
        self,
        router: Router,
        client: HopClient,
        table: MemberTable,
        clock: Clock,
        *,
        hedging: bool = True,
    ) -> None:
        self._router = router
        self._client = client
        self._table = table
        self._clock = clock
        self._hedging = hedging
        self._last_attempt_number = 0
        self.retry_state_by_service: dict[str, ServiceRetryState] = {}

    async def dispatch(self, call: Call) -> Dispatched:
        """Run the call at a backend server and return its outcome."""
        retry_state = self._retry_state(call)
        retry_state.budget.call()
        no_backend_server = Refused(ResultCode.NO_BACKEND_SERVER, NO_BACKEND_SERVER_RETRY_SECONDS)
        dispatched = Dispatched(no_backend_server, 0, "", "first")
        progress = DispatchProgress()
        while dispatched.attempts < MAX_ATTEMPTS:
            candidate, may_wait = self._next_candidate(call, progress)
            if candidate is None:
                break
            dispatched.node = candidate.member.node
            dispatched.result = await self._run_attempt(
                candidate, call, retry_state, dispatched, may_wait=may_wait
            )
            progress.tried.add(candidate.member.node)
            if not self._should_continue(call, retry_state, dispatched, progress, waited=may_wait):
                break
        dispatched.result = progress.resolve(dispatched.result)
        return dispatched

    def forget(self, services: set[str]) -> None:
        """Drop the retry states of services that are no longer configured."""
        for name in set(self.retry_state_by_service) - services:
            del self.retry_state_by_service[name]

    def _next_candidate(
        self, call: Call, progress: DispatchProgress
    ) -> tuple[Candidate | None, bool]:
        """Return the next candidate, and whether the call may wait there."""
        now = self._clock.now()
        service = call.spec.name
        if now >= call.deadline:
            return None, False
        if not progress.should_wait:
            candidate = self._router.choose(service, progress.tried, now)
            if candidate is not None or not progress.slots_full:
                return candidate, False
        return self._router.least_waiting(service, now), True

    def _should_continue(
        self,
        call: Call,
        retry_state: ServiceRetryState,
        dispatched: Dispatched,
        progress: DispatchProgress,
        *,
        waited: bool,
    ) -> bool:
        """Return whether to make another attempt after the last one."""
        result = dispatched.result
        if isinstance(result, Answer) or not call.replayable:
            return False
        if isinstance(result, Lost):
            progress.lost = result
            dispatched.reason = result.code.name
            return self._may_retry(call, retry_state)
        progress.refused(result)
        dispatched.reason = result.code.name
        return not waited and result.code not in FINAL_CODES

    async def _run_attempt(
        self,
        candidate: Candidate,
        call: Call,
        retry_state: ServiceRetryState,
        dispatched: Dispatched,
        *,
        may_wait: bool,
    ) -> RunResult:
        attempt = self._new_attempt(may_wait=may_wait)
        dispatched.attempts += 1
        started = self._clock.now()
        if not self._may_hedge(call):
            result = await self._client.run(candidate, call, attempt)
        else:
            race = HedgeRace(lambda: self._start_hedge(candidate, call, retry_state, dispatched))
            result = await race.run(
                self._client.run(candidate, call, attempt), attempt, retry_state.timer.delay
            )
        if isinstance(result, Answer):
            retry_state.timer.answered(self._clock.now() - started)
        elif isinstance(result, Refused):
            self._record_refusal(candidate, result)
        return result

    def _start_hedge(
        self,
        candidate: Candidate,
        call: Call,
        retry_state: ServiceRetryState,
        dispatched: Dispatched,
    ) -> tuple[Attempt, Coroutine[object, object, RunResult]] | None:
        now = self._clock.now()
        hedge_candidate = self._router.choose(call.spec.name, {candidate.member.node}, now)
        if (
            hedge_candidate is None
            or hedge_candidate.view.closed_until > now
            or not retry_state.budget.take()
        ):
            return None
        attempt = self._new_attempt(may_wait=True, hedge=True)
        dispatched.attempts += 1
        dispatched.reason = "hedged"
        return attempt, self._run_hedge(hedge_candidate, call, attempt, retry_state)

    async def _run_hedge(
        self,
        hedge_candidate: Candidate,
        call: Call,
        attempt: Attempt,
        retry_state: ServiceRetryState,
    ) -> RunResult:
        result = await self._client.run(hedge_candidate, call, attempt)
        if isinstance(result, Refused):
            retry_state.budget.give_back()
            self._record_refusal(hedge_candidate, result)
        return result

    def _new_attempt(self, *, may_wait: bool, hedge: bool = False) -> Attempt:
        self._last_attempt_number += 1
        return Attempt(self._last_attempt_number, may_wait=may_wait, hedge=hedge)

    def _may_hedge(self, call: Call) -> bool:
        return (
            self._hedging
            and call.repeatable
            and call.spec.hedge
            and call.replayable
            and not call.under_hedge
        )

    def _may_retry(self, call: Call, retry_state: ServiceRetryState) -> bool:
        if not call.repeatable or self._clock.now() >= call.deadline:
            return False
        return retry_state.budget.take()

    def _record_refusal(self, candidate: Candidate, refused: Refused) -> None:
        if refused.code not in CLOSING_CODES:
            return
        now = self._clock.now()
        candidate.view.close_until(now + refused.retry_after)
        if refused.code is ResultCode.UNREACHABLE and not candidate.local:
            self._table.suspect(candidate.member, now)

    def _retry_state(self, call: Call) -> ServiceRetryState:
        retry_state = self.retry_state_by_service.get(call.spec.name)
        if retry_state is None:
            retry_state = ServiceRetryState(call.spec.retry_percent)
            self.retry_state_by_service[call.spec.name] = retry_state
        retry_state.budget.percent = call.spec.retry_percent
        return retry_state
