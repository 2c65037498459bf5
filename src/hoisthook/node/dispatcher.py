"""Tries, retries and hedges of one call."""

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

MAX_TRIES = 6
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
    """What became of a call.

    Attributes
    ----------
    result : Answer, Refused or Lost
        The last word.
    attempts : int
        How many tries were sent, hedges included.
    node : str
        The node that the last try went to.
    reason : str
        Why the last try was made.
    """

    result: RunResult
    attempts: int
    node: str
    reason: str


class ServiceEffort:
    """Retry budget and hedge timer of one service at this entry."""

    def __init__(self, percent: float) -> None:
        self.budget = RetryBudget(percent)
        self.timer = HedgeTimer()


class Dispatcher:
    """Finds a backend server that runs a call, within deadline and budgets.

    A refusal costs the refusing backend server nothing, so the next one is tried
    at once; when those tried are full, the call waits beside the one with the
    shortest queue. A lost answer is tried again only if the call is repeatable
    and the budget allows.

    Parameters
    ----------
    router : Router
        Chooses.
    client : HopClient
        Sends.
    table : MemberTable
        Told of nodes that cannot be reached.
    clock : Clock
        Monotonic.
    hedging : bool
        False for baselines.
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
        self._numbers = 0
        self.effort_by_service: dict[str, ServiceEffort] = {}

    async def dispatch(self, call: Call) -> Dispatched:
        """Run the call somewhere, or say what is known of it."""
        effort = self._effort(call)
        effort.budget.call()
        none = Refused(ResultCode.NO_BACKEND_SERVER, NO_BACKEND_SERVER_RETRY_SECONDS)
        done = Dispatched(none, 0, "", "first")
        progress = DispatchProgress()
        while done.attempts < MAX_TRIES:
            candidate, waits = self._next(call, progress)
            if candidate is None:
                break
            done.node = candidate.member.node
            done.result = await self._try(candidate, call, effort, done, may_wait=waits)
            progress.tried.add(candidate.member.node)
            if not self._goes_on(call, effort, done, progress, waited=waits):
                break
        done.result = progress.conclude(done.result)
        return done

    def forget(self, services: set[str]) -> None:
        """Drop budgets of services that are configured no more."""
        for name in set(self.effort_by_service) - services:
            del self.effort_by_service[name]

    def _next(self, call: Call, progress: DispatchProgress) -> tuple[Candidate | None, bool]:
        """Return whom to try next, and whether the call may wait there."""
        now = self._clock.now()
        service = call.spec.name
        if now >= call.deadline:
            return None, False
        if not progress.should_wait:
            candidate = self._router.choose(service, progress.tried, now)
            if candidate is not None or not progress.full:
                return candidate, False
        return self._router.least_waiting(service, now), True

    def _goes_on(
        self,
        call: Call,
        effort: ServiceEffort,
        done: Dispatched,
        progress: DispatchProgress,
        *,
        waited: bool,
    ) -> bool:
        """Return whether another try makes sense after the last one."""
        result = done.result
        if isinstance(result, Answer) or not call.replayable:
            return False
        if isinstance(result, Lost):
            progress.lost = result
            done.reason = result.code.name
            return self._may_repeat(call, effort)
        progress.refused(result)
        done.reason = result.code.name
        return not waited and result.code not in FINAL_CODES

    async def _try(
        self,
        candidate: Candidate,
        call: Call,
        effort: ServiceEffort,
        done: Dispatched,
        *,
        may_wait: bool,
    ) -> RunResult:
        attempt = self._attempt(may_wait=may_wait)
        done.attempts += 1
        started = self._clock.now()
        if not self._may_hedge(call):
            result = await self._client.run(candidate, call, attempt)
        else:
            race = HedgeRace(lambda: self._start_hedge(candidate, call, effort, done))
            result = await race.run(
                self._client.run(candidate, call, attempt), attempt, effort.timer.delay
            )
        if isinstance(result, Answer):
            effort.timer.answered(self._clock.now() - started)
        elif isinstance(result, Refused):
            self._learn_refusal(candidate, result)
        return result

    def _start_hedge(
        self, candidate: Candidate, call: Call, effort: ServiceEffort, done: Dispatched
    ) -> tuple[Attempt, Coroutine[object, object, RunResult]] | None:
        now = self._clock.now()
        other = self._router.choose(call.spec.name, {candidate.member.node}, now)
        if other is None or other.view.closed_until > now or not effort.budget.take():
            return None
        attempt = self._attempt(may_wait=True, hedge=True)
        done.attempts += 1
        done.reason = "hedged"
        return attempt, self._run_hedge(other, call, attempt, effort)

    async def _run_hedge(
        self, other: Candidate, call: Call, attempt: Attempt, effort: ServiceEffort
    ) -> RunResult:
        result = await self._client.run(other, call, attempt)
        if isinstance(result, Refused):
            effort.budget.give_back()
            self._learn_refusal(other, result)
        return result

    def _attempt(self, *, may_wait: bool, hedge: bool = False) -> Attempt:
        self._numbers += 1
        return Attempt(self._numbers, may_wait=may_wait, hedge=hedge)

    def _may_hedge(self, call: Call) -> bool:
        return (
            self._hedging
            and call.repeatable
            and call.spec.hedge
            and call.replayable
            and not call.under_hedge
        )

    def _may_repeat(self, call: Call, effort: ServiceEffort) -> bool:
        if not call.repeatable or self._clock.now() >= call.deadline:
            return False
        return effort.budget.take()

    def _learn_refusal(self, candidate: Candidate, refused: Refused) -> None:
        if refused.code not in CLOSING_CODES:
            return
        now = self._clock.now()
        candidate.view.close_until(now + refused.retry_after)
        if refused.code is ResultCode.UNREACHABLE and not candidate.local:
            self._table.suspect(candidate.member, now)

    def _effort(self, call: Call) -> ServiceEffort:
        effort = self.effort_by_service.get(call.spec.name)
        if effort is None:
            effort = ServiceEffort(call.spec.retry_percent)
            self.effort_by_service[call.spec.name] = effort
        effort.budget.percent = call.spec.retry_percent
        return effort
