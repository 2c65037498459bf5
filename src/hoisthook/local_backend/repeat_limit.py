"""Admits repeats at the backend server beside, within the budget of its service."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival import Arrival
from hoisthook.retry.arrival_budget import ArrivalBudget
from hoisthook.retry.arrival_budget import node_part
from hoisthook.retry.caller_share import CallerShares

if TYPE_CHECKING:
    from hoisthook.identity import NodeId
    from hoisthook.identity import RequestId
    from hoisthook.identity import RouteName
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.retry.arrival_budget import RetrySettings
    from hoisthook.retry.idle_tracker import IdleObservation

# Other nodes send no repeats for this long at most; requests that come meanwhile open sooner.
MAX_CLOSED_SECONDS = 0.25
MIN_CLOSED_SECONDS = 0.02
# For how long no repeat begins that would make calls to a service that owes. Those that run already
# make theirs meanwhile; its nodes tell again with each answer.
HELD_SECONDS = 1.0
# A route of which callers send less than this is one of calls.
CALLED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RepeatStatus:
    """What a node adds to the sum of its service.

    Attributes
    ----------
    arrived : float
        Repeats since the start, calls of repeated runs by their chance of being one.
    requests : float
        Requests of callers that were counted since the start.
    part : float
        This node's of the fixed number.
    level : float
        Repeats that it may admit now; below 0 what is owed.
    nodes : int
        By which the fixed number is divided; 0 while they are not known.
    """

    arrived: float
    requests: float
    part: float
    level: float
    nodes: int


class ServiceNodes(Protocol):
    """Who shares the budget."""

    @property
    def digest(self) -> int:
        """Return a number that changes with the nodes that are known."""

    @property
    def is_complete(self) -> bool:
        """Return whether all nodes are known that were registered."""

    def nodes_of_own_service(self) -> list[NodeId]:
        """Return the nodes beside backend servers of this node's service, itself included."""


class Try(Protocol):
    """A request on its way to the backend server."""

    request_id: RequestId
    route: RouteName
    arrival: Arrival
    idle_observation: IdleObservation
    by_repeat: float


class RepeatLimit:
    """Decides on repeats where they arrive: all requests for a backend server pass its node.

    Parameters
    ----------
    node : NodeId
        This one.
    nodes : ServiceNodes
        Who shares the budget.
    settings : RetrySettings
        The budget of the service.
    clock : Clock
        Monotonic.
    log : EventLog
        Gets a line for each repeat.
    """

    def __init__(
        self,
        node: NodeId,
        nodes: ServiceNodes,
        settings: RetrySettings,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._settings = settings
        self._clock = clock
        self._log = log
        self._budget = ArrivalBudget(settings, clock.now())
        self._callers = CallerShares()
        self._shared_by = 0
        self._arrived = 0.0
        self._requests = 0.0
        self._seen: tuple[int, bool] | None = None
        self._held_until = -math.inf

    def refresh(self) -> None:
        """Divide the fixed number among the nodes that are known now; begins to accrue by it."""
        seen = (self._nodes.digest, self._nodes.is_complete)
        if seen == self._seen:
            return
        self._seen = seen
        nodes = self._nodes.nodes_of_own_service() if self._nodes.is_complete else []
        self._shared_by = len(nodes)
        part = node_part(self._settings.extra, self._node, nodes) if nodes else 0.0
        self._budget.set_part(part, self._clock.now())

    def refuse(self, call: Try) -> Refused | None:
        """Refuse a repeat that has no room in the budget."""
        self.refresh()
        if not call.arrival.is_repeat:
            return None
        now = self._clock.now()
        held = self._held_until - now
        if held <= 0 and self._budget.allows(call.arrival, now):
            return None
        self._tell(call, now, granted=False)
        opens_in = max(held, self._budget.opens_in(call.arrival, now))
        retry_after = min(MAX_CLOSED_SECONDS, max(MIN_CLOSED_SECONDS, opens_in))
        return Refused(ResultCode.RETRY_BUDGET_SPENT, retry_after)

    def arrives(self, call: Try) -> Refused | None:
        """Count a try that is about to be sent, or refuse it.

        A request that callers send is by no repeat, whatever runs where it begins.
        """
        refused = self.refuse(call)
        if refused is not None:
            return refused
        call.by_repeat *= 1.0 - self._callers.share(call.route)
        now = self._clock.now()
        self._budget.arrived(call.arrival, now)
        if call.arrival is Arrival.FIRST:
            self._callers.learn(call.route, call.idle_observation)
            requests = self._callers.caller_weight(call.route)
            self._requests += requests
            self._budget.record_requests(requests, now)
            self._arrived += call.by_repeat
            self._budget.charge_call(call.by_repeat, now)
        else:
            self._arrived += 1
            self._tell(call, now, granted=True)
        return None

    def status(self) -> RepeatStatus:
        """Return what an operator adds up over the nodes of the service."""
        level = self._budget.level(self._clock.now())
        return RepeatStatus(
            self._arrived, self._requests, self._budget.part, level, self._shared_by
        )

    def owes_for(self, call: Try) -> bool:
        """Return whether runs that make such calls must not be repeated for now.

        Calls of repeated runs have then taken more than is left for them. Callers' requests are
        told nothing: where they begin other services would hold their repeats for them.
        """
        is_call = self._callers.share(call.route) < CALLED_SHARE
        return is_call and self._budget.is_overdrawn(self._clock.now())

    def called_owes(self, call: Try) -> None:
        """Take in that the service that a call went to owes.

        Load pattern: a service turns work away, its repeats run, and each makes two calls to a
        service that has less room for repeats than its own. They are refused here, before they
        run: refused there, they would have run in vain.
        """
        if call.by_repeat > 0:
            self._held_until = self._clock.now() + HELD_SECONDS

    def _tell(self, call: Try, now: float, *, granted: bool) -> None:
        self._log.decision(
            "extra_try",
            request=call.request_id,
            granted=granted,
            kind=call.arrival.name.lower(),
            level=round(self._budget.level(now), 2),
            part=round(self._budget.part, 2),
            nodes=self._shared_by,
            callers=round(self._callers.share(call.route), 2),
        )
