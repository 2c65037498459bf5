"""Admits repeats at the local backend server within the repeat budget of its service."""

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

# Bounds of the retry-after sent to other nodes, which send no repeats until then. The upper bound
# is low because new requests add to the budget and may allow a repeat earlier.
MAX_RETRY_AFTER_SECONDS = 0.25
MIN_RETRY_AFTER_SECONDS = 0.02
# How long repeats are paused after a call to a service that is over its repeat budget. Repeats that
# already run make their calls during the pause, and each answer of that service renews it.
REPEAT_PAUSE_SECONDS = 1.0
# A route that gets a smaller share of its requests from callers counts as one for calls.
MIN_CALLER_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RepeatStatus:
    """Repeat counters of one node, which operators add up over the nodes of the service.

    Attributes
    ----------
    arrived : float
        Repeats since the start of the node. A call counts by the probability that a repeat made
        it.
    requests : float
        Estimated number of callers' requests since the start of the node.
    part : float
        This node's part of the fixed number of repeats in a window.
    level : float
        Repeats that the node may admit now; negative while it is over its budget.
    nodes : int
        Number of nodes that share the fixed number; 0 while it is not known.
    """

    arrived: float
    requests: float
    part: float
    level: float
    nodes: int


class ServiceNodes(Protocol):
    """The nodes that share the repeat budget of a service."""

    @property
    def digest(self) -> int:
        """Return a number that changes whenever the set of known nodes changes."""

    @property
    def is_complete(self) -> bool:
        """Return whether all registered nodes are known."""

    def nodes_of_own_service(self) -> list[NodeId]:
        """Return the nodes with a backend server of this node's service, itself included."""


class ArrivingRequest(Protocol):
    """A request that has arrived for the backend server.

    Attributes
    ----------
    request_id : RequestId
        Id of the request.
    route : RouteName
        Route of the request.
    arrival : Arrival
        Whether it is the first arrival of the request or a kind of repeat.
    idle_observation : IdleObservation
        Whether its ingress node was idle when it came, by which callers' requests are
        distinguished from calls.
    by_repeat : float
        Probability that the request is a call made by a repeat.
    """

    request_id: RequestId
    route: RouteName
    arrival: Arrival
    idle_observation: IdleObservation
    by_repeat: float


class RepeatLimit:
    """Admits or rejects the repeats that arrive at one backend server.

    A repeat is any arrival of a request at a backend server after its first, such as a redirect
    after a rejection or a rerun. The node of the backend server decides, since all requests for
    the backend server pass it. The budget is a fixed number of repeats in a window, divided among
    the nodes of the service, plus a share of the callers' requests. Calls that repeats make to
    other services are charged to the budgets of those services.

    Parameters
    ----------
    node : NodeId
        Id of this node.
    nodes : ServiceNodes
        Nodes that share the budget.
    settings : RetrySettings
        Repeat budget of the service.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives a record of each repeat.
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
        self._caller_shares = CallerShares()
        self._node_count = 0
        self._arrived = 0.0
        self._requests = 0.0
        self._membership: tuple[int, bool] | None = None
        self._paused_until = -math.inf

    def refresh(self) -> None:
        """Recompute this node's part of the budget if the known nodes have changed.

        The part is 0, so that no tokens accrue from it, until all nodes are known.
        """
        membership = (self._nodes.digest, self._nodes.is_complete)
        if membership == self._membership:
            return
        self._membership = membership
        nodes = self._nodes.nodes_of_own_service() if self._nodes.is_complete else []
        self._node_count = len(nodes)
        part = node_part(self._settings.extra, self._node, nodes) if nodes else 0.0
        self._budget.set_part(part, self._clock.now())

    def refuse(self, call: ArrivingRequest) -> Refused | None:
        """Return a refusal for a repeat that exceeds the budget; None for any other request."""
        self.refresh()
        if not call.arrival.is_repeat:
            return None
        now = self._clock.now()
        pause_left = self._paused_until - now
        if pause_left <= 0 and self._budget.allows(call.arrival, now):
            return None
        self._log_decision(call, now, granted=False)
        seconds = max(pause_left, self._budget.opens_in(call.arrival, now))
        retry_after = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
        return Refused(ResultCode.RETRY_BUDGET_SPENT, retry_after)

    def count_or_refuse(self, call: ArrivingRequest) -> Refused | None:
        """Charge a request that is about to be sent to the budget, or return a refusal.

        The probability that a repeat made the request, `by_repeat`, is reduced by the share of
        the route's requests that come from callers: a caller's request is made by no repeat,
        whatever its ingress node executes at that time.
        """
        refused = self.refuse(call)
        if refused is not None:
            return refused
        call.by_repeat *= 1.0 - self._caller_shares.share(call.route)
        now = self._clock.now()
        self._budget.arrived(call.arrival, now)
        if call.arrival is Arrival.FIRST:
            self._caller_shares.learn(call.route, call.idle_observation)
            requests = self._caller_shares.caller_weight(call.route)
            self._requests += requests
            self._budget.record_requests(requests, now)
            self._arrived += call.by_repeat
            self._budget.charge_call(call.by_repeat, now)
        else:
            self._arrived += 1
            self._log_decision(call, now, granted=True)
        return None

    def status(self) -> RepeatStatus:
        """Return the counters of this node."""
        level = self._budget.level(self._clock.now())
        return RepeatStatus(
            self._arrived, self._requests, self._budget.part, level, self._node_count
        )

    def is_over_budget_for(self, call: ArrivingRequest) -> bool:
        """Return whether requests that make such calls must not be repeated for now.

        This is so while calls made by repeats have used up more than the budget. It is never so
        for routes used by callers: the nodes where callers' requests arrive would needlessly pause
        the repeats of their own services.
        """
        is_call = self._caller_shares.share(call.route) < MIN_CALLER_SHARE
        return is_call and self._budget.is_overdrawn(self._clock.now())

    def callee_over_budget(self, call: ArrivingRequest) -> None:
        """Pause repeats, as the service that a call went to is over its repeat budget.

        This guards against repeats executed in vain: a service rejects requests, their repeats
        are executed, and each makes two calls to a service with a smaller repeat budget, which
        rejects them. The pause rejects such repeats before they are executed.
        """
        if call.by_repeat > 0:
            self._paused_until = self._clock.now() + REPEAT_PAUSE_SECONDS

    def _log_decision(self, call: ArrivingRequest, now: float, *, granted: bool) -> None:
        self._log.decision(
            "extra_try",
            request=call.request_id,
            granted=granted,
            kind=call.arrival.name.lower(),
            level=round(self._budget.level(now), 2),
            part=round(self._budget.part, 2),
            nodes=self._node_count,
            callers=round(self._caller_shares.share(call.route), 2),
        )
