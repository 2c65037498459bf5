"""Finds a backend server that runs a routed request, within its deadline and budgets."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.outcome import WholeAnswer
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode
from hoisthook.retry.windowed_retry_budget import RetryKind
from hoisthook.retry.windowed_retry_budget import WindowedRetryBudget

if TYPE_CHECKING:
    from hoisthook.identity import NodeId
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_choice import PeerChoice
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog

# Nodes asked whether they can start a request at once; each costs a way there and back.
MAX_DIRECT_TRIES = 4
# The same within the data centre, where the way costs 0.2 ms: of 12 near servers, each of which
# could not start a request at once half of the time, four tries found none for 20 % of the
# requests, which then waited at one of them for a slot.
MAX_NEAR_TRIES = 8
MAX_QUEUE_TRIES = 2
NO_BACKEND_SERVER_RETRY_SECONDS = 0.3
MIN_RETRY_AFTER_SECONDS = 0.05
# Share of the budget that tries made here may use, and the part of it for reruns. The calls of a
# request that runs again count as repeats at the services they go to, which these tries do not
# see: with 1.4 calls a request, as the users' busiest route makes, 0.7 and 0.15 * 1.4 of the
# budget of the service that is called stay within it. Routes that make two calls use all of it.
OWN_SHARE_OF_BUDGET = 0.7
RERUN_SHARE_OF_BUDGET = 0.15
# Below this nothing can be run any more.
MIN_TIME_LEFT_SECONDS = 0.003
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


class Hop(Protocol):
    """Takes requests to nodes."""

    async def run(self, view: PeerView, call: RoutedCall, admission: Admission) -> Outcome:
        """Run a request at a node and learn from what comes back."""

    def probe(self, view: PeerView) -> None:
        """Find out beside the requests whether a suspected node takes connections again."""


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The budget of extra tries that all nodes share.

    Attributes
    ----------
    ratio : float
        Extra tries per request of a service.
    window : float
        Seconds.
    extra : float
        Extra tries that all nodes together may make in a window besides.
    rounding : float
        Drawn by the node, from 0 up to 1, see `WindowedRetryBudget`.
    """

    ratio: float
    window: float
    extra: float
    rounding: float = 0.0


@dataclass(slots=True)
class Dispatched:
    """What became of a request.

    Attributes
    ----------
    outcome : WholeAnswer, Refused or Lost
        The last word.
    tries : int
        Nodes it was handed to.
    ran : int
        Backend servers that may have run it.
    arrived : int
        Backend servers that it may have reached, those that rejected it among them.
    node : str
        The last node.
    """

    outcome: Outcome
    tries: int
    ran: int
    arrived: int
    node: str


@dataclass(slots=True)
class _Progress:
    """What the tries of one request have shown so far."""

    asked: set[NodeId] = field(default_factory=set)
    left_out: set[NodeId] = field(default_factory=set)
    queue_tries: int = 0
    tries: int = 0
    ran: int = 0
    rejected: int = 0
    # Sent whole to a node that was not heard from, where it may run later.
    unheard: int = 0
    node: str = ""
    unknown: Lost | None = None
    failed: WholeAnswer | None = None
    soonest: float = float("inf")
    code: ResultCode = ResultCode.NO_BACKEND_SERVER

    def dispatched(self, outcome: Outcome) -> Dispatched:
        """Return the last word with what the tries have shown."""
        arrived = self.ran + self.rejected + self.unheard
        return Dispatched(outcome, self.tries, self.ran, arrived, self.node)


class RoutedDispatcher:
    """Asks the nearest node that is likely to be fast, then others, then waits at one.

    A refusal beside a backend server costs that backend server nothing, so the next
    node is asked at once. So it is after a node that was silent or gone before it had said
    that it runs a repeatable request: next to none of these reach a backend server, and with
    the budget spent on them 32 of 1,700 requests of a restart of all were answered 502 though
    none had run. Some do all the same, over a link that takes longer than the silence that is
    borne: 11 requests of a day of 24 nodes ran on more backend servers than their routes allow, and
    none since the last attempt that a route allows is held back, see `AdmittedExchange`. What was
    admitted and not answered is tried again only if it may be repeated, the route allows another
    attempt, and the budget has room.

    Parameters
    ----------
    choice : PeerChoice
        Chooses nodes.
    hop : Hop
        Sends.
    directory : PeerDirectory
        Tells by how many nodes the budget is shared.
    settings : RetrySettings
        The budget.
    clock : Clock
        Monotonic.
    log : EventLog
        Gets a line for each extra try.
    """

    def __init__(
        self,
        choice: PeerChoice,
        hop: Hop,
        directory: PeerDirectory,
        settings: RetrySettings,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._choice = choice
        self._hop = hop
        self._directory = directory
        self._settings = settings
        self._clock = clock
        self._log = log
        self._budget_by_service: dict[ServiceName, WindowedRetryBudget] = {}

    async def dispatch(self, call: RoutedCall) -> Dispatched:
        """Run the request somewhere, or say what is known of it."""
        now = self._clock.now()
        self._budget(call.service).request(now)
        suspect = self._choice.to_probe(call, now)
        if suspect is not None:
            self._hop.probe(suspect)
        progress = _Progress()
        while True:
            step = self._next(call, progress)
            if step is None:
                break
            view, admission = step
            outcome = await self._try(view, call, admission, progress)
            if isinstance(outcome, Refused) and admission is Admission.QUEUE:
                progress.left_out.add(view.peer.node)
            if not self._goes_on(view, call, outcome, progress):
                if isinstance(outcome, WholeAnswer):
                    return progress.dispatched(outcome)
                break
        # Not the last outcome alone: after a try that may have run, a refusal says too much.
        return progress.dispatched(self._conclude(call, progress))

    def _next(self, call: RoutedCall, progress: _Progress) -> tuple[PeerView, Admission] | None:
        now = self._clock.now()
        if call.time_left(now) < MIN_TIME_LEFT_SECONDS:
            return None
        if len(progress.asked) < MAX_NEAR_TRIES:
            view = self._choice.direct(call, progress.asked | progress.left_out, now)
            if view is not None and _is_worth_asking(view, progress):
                return view, Admission.DIRECT
        if progress.queue_tries >= MAX_QUEUE_TRIES:
            return None
        view = self._choice.queue(call, progress.left_out, now)
        if view is None:
            return None
        progress.queue_tries += 1
        return view, Admission.QUEUE

    async def _try(
        self, view: PeerView, call: RoutedCall, admission: Admission, progress: _Progress
    ) -> Outcome:
        progress.tries += 1
        progress.node = view.peer.node
        return await self._hop.run(view, call, admission)

    def _goes_on(
        self, view: PeerView, call: RoutedCall, outcome: Outcome, progress: _Progress
    ) -> bool:
        """Take in an outcome; return whether another try makes sense."""
        node = view.peer.node
        if isinstance(outcome, Refused):
            progress.asked.add(node)
            progress.code = outcome.code
            progress.soonest = min(progress.soonest, outcome.retry_after)
            if outcome.code in _ARRIVED_CODES:
                progress.rejected += 1
                if outcome.code is ResultCode.BACKEND_SERVER_SHED:
                    progress.left_out.add(node)
                return self._take_budget(call, outcome.code.number, RetryKind.REDIRECT)
            if outcome.code not in _MAY_QUEUE_CODES:
                progress.left_out.add(node)
            return outcome.code not in _FINAL_CODES
        progress.left_out.add(node)
        if isinstance(outcome, Lost) and not outcome.admitted:
            progress.unknown = outcome
            progress.unheard += 1
            call.held_back = progress.unheard + 1 >= call.max_attempts
            return call.target_left(self._clock.now()) > 0
        progress.ran += 1
        if isinstance(outcome, Lost):
            progress.unknown = outcome
            return outcome.code is not ResultCode.DEADLINE_DURING_RUN and self._may_repeat(
                call, progress, outcome.code.number
            )
        if outcome.status not in FAILURE_STATUSES:
            return False
        progress.failed = outcome
        return self._may_repeat(call, progress, outcome.status)

    def _may_repeat(self, call: RoutedCall, progress: _Progress, reason: int) -> bool:
        if not call.repeatable or progress.ran + progress.unheard >= call.max_attempts:
            return False
        if call.target_left(self._clock.now()) <= 0:
            return False
        return self._take_budget(call, reason, RetryKind.RERUN)

    def _take_budget(self, call: RoutedCall, reason: int, kind: RetryKind) -> bool:
        budget = self._budget(call.service)
        now = self._clock.now()
        taken = budget.take(now, kind)
        usage = budget.usage(now)
        self._log.decision(
            "extra_try",
            request=call.request_id,
            reason=reason,
            granted=taken,
            service=call.service,
            kind=kind.value,
            tries=usage.tries,
            requests=usage.requests,
            allowed=round(usage.allowed, 2),
            nodes=len(self._directory),
        )
        return taken

    def _conclude(self, call: RoutedCall, progress: _Progress) -> Outcome:
        if progress.failed is not None:
            return progress.failed
        if progress.unknown is not None:
            return progress.unknown
        if progress.tries == 0:
            if call.time_left(self._clock.now()) < MIN_TIME_LEFT_SECONDS:
                return Refused(ResultCode.DEADLINE_PASSED, 0.0)
            return Refused(ResultCode.NO_BACKEND_SERVER, NO_BACKEND_SERVER_RETRY_SECONDS)
        return Refused(progress.code, max(MIN_RETRY_AFTER_SECONDS, progress.soonest))

    def _budget(self, service: ServiceName) -> WindowedRetryBudget:
        ratio = OWN_SHARE_OF_BUDGET * self._settings.ratio
        extra = OWN_SHARE_OF_BUDGET * self._settings.extra / max(1, len(self._directory))
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                ratio,
                self._settings.window,
                extra,
                rerun_share=RERUN_SHARE_OF_BUDGET / OWN_SHARE_OF_BUDGET,
                rounding=self._settings.rounding,
            )
            self._budget_by_service[service] = budget
        budget.extra = extra
        return budget


def _is_worth_asking(view: PeerView, progress: _Progress) -> bool:
    return view.same_data_centre or len(progress.asked) < MAX_DIRECT_TRIES
