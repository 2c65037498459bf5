"""Finds a backend server that runs a routed request, within its deadline."""

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
from hoisthook.retry.arrival import Arrival

if TYPE_CHECKING:
    from hoisthook.identity import NodeId
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_choice import PeerChoice
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.clock import Clock

# Nodes asked whether they can start a request at once; each costs a way there and back.
MAX_DIRECT_TRIES = 4
# The same within the data centre, where the way costs 0.2 ms: of 12 near servers, each of which
# could not start a request at once half of the time, four tries found none for 20 % of the
# requests, which then waited at one of them for a slot.
MAX_NEAR_TRIES = 8
MAX_QUEUE_TRIES = 2
NO_BACKEND_SERVER_RETRY_SECONDS = 0.3
MIN_RETRY_AFTER_SECONDS = 0.05
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
    admitted and not answered is tried again only if it may be repeated and the route allows another
    attempt. Each try says whether it would be the first to arrive; whether the service has room for
    others is known beside its backend servers, see `hoisthook.beside.repeat_limit`.

    Parameters
    ----------
    choice : PeerChoice
        Chooses nodes.
    hop : Hop
        Sends.
    clock : Clock
        Monotonic.
    """

    def __init__(self, choice: PeerChoice, hop: Hop, clock: Clock) -> None:
        self._choice = choice
        self._hop = hop
        self._clock = clock

    async def dispatch(self, call: RoutedCall) -> Dispatched:
        """Run the request somewhere, or say what is known of it."""
        suspect = self._choice.to_probe(call, self._clock.now())
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
                if call.arrival is not Arrival.RERUN:
                    call.arrival = Arrival.REDIRECTED
                if outcome.code is ResultCode.BACKEND_SERVER_SHED:
                    progress.left_out.add(node)
                return True
            if outcome.code not in _MAY_QUEUE_CODES:
                progress.left_out.add(node)
            return outcome.code not in _FINAL_CODES
        progress.left_out.add(node)
        if isinstance(outcome, Lost) and not outcome.admitted:
            progress.unknown = outcome
            progress.unheard += 1
            if outcome.is_silent and call.arrival is Arrival.FIRST:
                call.arrival = Arrival.UNHEARD
            call.held_back = progress.unheard + 1 >= call.max_attempts
            return call.target_left(self._clock.now()) > 0
        progress.ran += 1
        if isinstance(outcome, Lost):
            progress.unknown = outcome
            return outcome.code is not ResultCode.DEADLINE_DURING_RUN and self._may_repeat(
                call, progress
            )
        if outcome.status not in FAILURE_STATUSES:
            return False
        progress.failed = outcome
        return self._may_repeat(call, progress)

    def _may_repeat(self, call: RoutedCall, progress: _Progress) -> bool:
        if not call.repeatable or progress.ran + progress.unheard >= call.max_attempts:
            return False
        call.arrival = Arrival.RERUN
        return call.target_left(self._clock.now()) > 0

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


def _is_worth_asking(view: PeerView, progress: _Progress) -> bool:
    return view.same_data_centre or len(progress.asked) < MAX_DIRECT_TRIES
