"""Finds a backend server that runs a routed request, within its deadline."""

from __future__ import annotations

import asyncio
from asyncio import FIRST_COMPLETED
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.outcome import PendingOutcome
from hoisthook.mesh.routed_progress import RoutedProgress
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival import Arrival
from hoisthook.routing.admission_rate import AdmissionRate

if TYPE_CHECKING:
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
# What tells whether a service has room for repeats: an answer, or a refusal by the backend server
# itself or for want of that room.
_DECIDED_CODES = frozenset({None, ResultCode.BACKEND_SERVER_SHED, ResultCode.RETRY_BUDGET_SPENT})


class Hop(Protocol):
    """Takes requests to nodes.

    Attributes
    ----------
    leaving : bool
        Whether this node is about to stop.
    """

    leaving: bool

    async def run(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        """Run a request at a node and learn from what comes back."""

    def probe(self, view: PeerView) -> None:
        """Find out beside the requests whether a suspected node takes connections again."""


@dataclass(slots=True)
class Dispatched:
    """What became of a request.

    Attributes
    ----------
    outcome : CompleteAnswer, Refused or Lost
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


class RoutedDispatcher:
    """Asks the nearest node that is likely to be fast, then others, then waits at one.

    A refusal beside a backend server costs that backend server nothing, so the next
    node is asked at once. So it is after a node that was silent or gone before it had said
    that it runs a repeatable request: next to none of these reach a backend server, and with
    the budget spent on them 32 of 1,700 requests of a restart of all were answered 502 though
    none had run. A silent node is heard out beside the further tries, and the first answer counts:
    its loop may have stood still, or the way to it be slow. What was admitted and not answered is
    tried again only if it may be repeated and the route allows another attempt. Each try says
    whether it would be the first to arrive; whether the service has room for others is known
    beside its backend servers, see `hoisthook.local_backend.repeat_limit`.

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
        # Each kind of repeat has room of its own.
        self._admission_rate_by_arrival = {
            arrival: AdmissionRate() for arrival in Arrival if arrival.is_repeat
        }

    async def dispatch(self, call: RoutedCall) -> Dispatched:
        """Run the request somewhere, or say what is known of it."""
        suspect = self._choice.to_probe(call, self._clock.now())
        if suspect is not None:
            self._hop.probe(suspect)
        progress = RoutedProgress(call)
        try:
            while progress.answer is None:
                step = self._next(call, progress)
                if step is not None:
                    await self._try(*step, call, progress)
                elif not await self._hear_late(call, progress):
                    break
        finally:
            progress.withdraw()
        outcome = progress.answer or self._conclude(call, progress)
        return Dispatched(outcome, progress.tries, progress.ran, progress.arrived, progress.node)

    def _next(
        self, call: RoutedCall, progress: RoutedProgress
    ) -> tuple[PeerView, Admission] | None:
        now = self._clock.now()
        if progress.tries_end or call.time_left(now) < MIN_TIME_LEFT_SECONDS:
            return None
        if self._is_repeated_in_vain(call, progress, now):
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

    def _is_repeated_in_vain(self, call: RoutedCall, progress: RoutedProgress, now: float) -> bool:
        if not call.arrival.is_repeat or not progress.refused_repeats:
            return False
        return not self._admission_rate_by_arrival[call.arrival].is_worth_another(call.service, now)

    async def _try(
        self, view: PeerView, admission: Admission, call: RoutedCall, progress: RoutedProgress
    ) -> None:
        progress.tries += 1
        progress.node = view.peer.node
        running = self._hop.run(view, call, admission)
        if progress.pending_outcomes:
            outcome = await self._first_of(asyncio.ensure_future(running), progress)
        else:
            outcome = await running
        if outcome is None:
            return
        if isinstance(outcome, Refused) and admission is Admission.QUEUE:
            progress.left_out.add(view.peer.node)
        now = self._clock.now()
        self._learn(call, outcome, now)
        progress.take(view.peer.node, outcome, now)

    def _learn(self, call: RoutedCall, outcome: Outcome | PendingOutcome, now: float) -> None:
        """Learn from a repeat whether its service has room for others."""
        if not call.arrival.is_repeat or isinstance(outcome, PendingOutcome):
            return
        if isinstance(outcome, Lost) and not outcome.admitted:
            return
        code = outcome.code if isinstance(outcome, Refused) else None
        if code in _DECIDED_CODES:
            is_admitted = code is not ResultCode.RETRY_BUDGET_SPENT
            seen = self._admission_rate_by_arrival[call.arrival]
            seen.note(call.service, now, is_admitted=is_admitted)

    async def _first_of(
        self, trial: asyncio.Future[Outcome | PendingOutcome], progress: RoutedProgress
    ) -> Outcome | PendingOutcome | None:
        """Return what becomes of a try; None if a silent node answers before."""
        try:
            while progress.answer is None and not trial.done():
                pending: list[asyncio.Future[Any]] = [trial, *progress.pending_outcomes]
                await asyncio.wait(pending, return_when=FIRST_COMPLETED)
                progress.take_late(self._clock.now())
            return trial.result() if trial.done() else None
        except asyncio.CancelledError:
            trial.add_done_callback(_withdraw)
            raise
        finally:
            trial.cancel()

    async def _hear_late(self, call: RoutedCall, progress: RoutedProgress) -> bool:
        """Wait for the silent nodes where nobody else can be tried; return whether one was heard.

        Until the target latency is over: a caller that is told then has time to ask again. A node
        that leaves hears them out to the deadline: it has no later moment at which to make good
        a request that it gave up, and its caller would see the shutdown cut it.
        """
        if progress.is_refused or not progress.pending_outcomes:
            return False
        now = self._clock.now()
        seconds = call.time_left(now) if self._hop.leaving else call.target_left(now)
        outcome_task, _ = await asyncio.wait(
            progress.pending_outcomes, timeout=max(0.0, seconds), return_when=FIRST_COMPLETED
        )
        progress.take_late(self._clock.now())
        # It may have been told to leave meanwhile.
        return bool(outcome_task) or (self._hop.leaving and call.time_left(self._clock.now()) > 0)

    def _conclude(self, call: RoutedCall, progress: RoutedProgress) -> Outcome:
        if progress.tries == 0:
            if call.time_left(self._clock.now()) < MIN_TIME_LEFT_SECONDS:
                return Refused(ResultCode.DEADLINE_PASSED, 0.0)
            return Refused(ResultCode.NO_BACKEND_SERVER, NO_BACKEND_SERVER_RETRY_SECONDS)
        return progress.conclude(MIN_RETRY_AFTER_SECONDS)


def _is_worth_asking(view: PeerView, progress: RoutedProgress) -> bool:
    return view.same_data_centre or len(progress.asked) < MAX_DIRECT_TRIES


def _withdraw(trial: asyncio.Future[Outcome | PendingOutcome]) -> None:
    """Withdraw a request that nobody waits for any more, also from a silent node."""
    if trial.cancelled() or trial.exception() is not None:
        return
    outcome = trial.result()
    if isinstance(outcome, PendingOutcome):
        outcome.outcome_task.cancel()
