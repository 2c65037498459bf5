from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from hoisthook.identity import NodeId
from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.local_backend.repeat_limit import MAX_RETRY_AFTER_SECONDS
from hoisthook.local_backend.repeat_limit import RepeatLimit
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival import Arrival
from hoisthook.retry.arrival_budget import RetrySettings
from hoisthook.retry.idle_tracker import UNKNOWN
from hoisthook.retry.idle_tracker import IdleObservation
from standin.mesh_system import ListLog
from tests.fakes import FakeClock

THIS_NODE = NodeId("me")


@dataclass
class Nodes:
    """Nodes of the service, as `ServiceNodes` defines them."""

    ids: list[NodeId] = field(default_factory=lambda: [THIS_NODE])
    is_complete: bool = True

    @property
    def digest(self) -> int:
        return len(self.ids)

    def nodes_of_own_service(self) -> list[NodeId]:
        return self.ids


@dataclass
class Request:
    """A request, as `ArrivingRequest` defines it."""

    arrival: Arrival = Arrival.FIRST
    route: RouteName = field(default=RouteName("route"))
    idle_observation: IdleObservation = UNKNOWN
    by_repeat: float = 0.0
    request_id: RequestId = field(default=RequestId("r"))


def make_limit(nodes: Nodes, clock: FakeClock, *, ratio: float = 0.0) -> RepeatLimit:
    return RepeatLimit(THIS_NODE, nodes, RetrySettings(ratio, 10.0, 40.0), clock, ListLog())


def admitted_repeats(limit: RepeatLimit, attempts: int = 100) -> int:
    """Let repeats arrive; return how many of them are admitted."""
    repeat = Request(Arrival.REDIRECTED)
    return sum(limit.count_or_refuse(repeat) is None for _ in range(attempts))


def test_nothing_accrues_before_all_nodes_are_known() -> None:
    clock = FakeClock()
    nodes = Nodes(is_complete=False)
    node_limit = make_limit(nodes, clock)
    node_limit.count_or_refuse(Request())
    clock.advance(100.0)
    assert admitted_repeats(node_limit) == 0
    nodes.is_complete = True
    node_limit.count_or_refuse(Request())
    clock.advance(100.0)
    assert admitted_repeats(node_limit) == 10


def test_part_follows_the_nodes_of_the_service() -> None:
    clock = FakeClock()
    nodes = Nodes()
    node_limit = make_limit(nodes, clock)
    node_limit.count_or_refuse(Request())
    clock.advance(100.0)
    nodes.ids = [THIS_NODE, *(NodeId(f"other-{number}") for number in range(3))]
    assert admitted_repeats(node_limit) == 2


def test_repeat_beyond_the_budget_is_refused_with_a_retry_after() -> None:
    clock = FakeClock()
    node_limit = make_limit(Nodes(), clock)
    refused = node_limit.refuse(Request(Arrival.REDIRECTED))
    assert refused is not None
    assert refused.code is ResultCode.RETRY_BUDGET_SPENT
    assert 0.0 < refused.retry_after <= MAX_RETRY_AFTER_SECONDS
    assert node_limit.refuse(Request()) is None


def test_budget_is_charged_on_arrival_and_not_by_an_earlier_check() -> None:
    clock = FakeClock()
    node_limit = make_limit(Nodes(), clock)
    node_limit.count_or_refuse(Request())
    clock.advance(100.0)
    for _ in range(100):
        assert node_limit.refuse(Request(Arrival.REDIRECTED)) is None
    assert admitted_repeats(node_limit) == 10


def test_repeats_pause_while_a_called_service_is_over_its_budget() -> None:
    clock = FakeClock()
    callee = make_limit(Nodes(), clock)
    callee.count_or_refuse(Request())
    for _ in range(10):
        callee.count_or_refuse(Request(by_repeat=1.0))
    assert callee.is_over_budget_for(Request())
    caller = make_limit(Nodes(), clock)
    caller.count_or_refuse(Request())
    clock.advance(100.0)
    caller.callee_over_budget(Request())
    assert caller.refuse(Request(Arrival.REDIRECTED)) is None
    caller.callee_over_budget(Request(by_repeat=0.1))
    assert caller.refuse(Request(Arrival.REDIRECTED)) is not None
    assert caller.refuse(Request()) is None
    clock.advance(5.0)
    assert caller.refuse(Request(Arrival.REDIRECTED)) is None
    assert not callee.is_over_budget_for(Request())


def test_status_adds_up_what_arrived_and_what_was_counted() -> None:
    clock = FakeClock()
    node_limit = make_limit(Nodes(), clock)
    node_limit.count_or_refuse(Request(idle_observation=IdleObservation(1.0, is_idle=True)))
    node_limit.count_or_refuse(Request(by_repeat=0.25, route=RouteName("called")))
    clock.advance(100.0)
    assert admitted_repeats(node_limit, 3) == 3
    status = node_limit.status()
    assert status.arrived == 3.25
    assert 0.0 < status.requests <= 2.0
    assert (status.part, status.nodes) == (40.0, 1)
    assert status.level == 7.0


def test_request_of_a_caller_does_not_count_as_made_by_a_repeat() -> None:
    clock = FakeClock()
    node_limit = make_limit(Nodes(), clock)
    for _ in range(1000):
        node_limit.count_or_refuse(Request(idle_observation=IdleObservation(1.0, is_idle=True)))
    before = node_limit.status().arrived
    node_limit.count_or_refuse(request := Request(by_repeat=1.0))
    assert request.by_repeat < 0.1
    assert node_limit.status().arrived - before < 0.1


def test_requests_of_callers_cause_no_pause_of_repeats() -> None:
    clock = FakeClock()
    callee = make_limit(Nodes(), clock)
    caller_route = RouteName("asked")
    for _ in range(100):
        callee.count_or_refuse(
            Request(route=caller_route, idle_observation=IdleObservation(1.0, is_idle=True))
        )
    for _ in range(10):
        callee.count_or_refuse(Request(by_repeat=1.0))
    assert callee.is_over_budget_for(Request())
    assert not callee.is_over_budget_for(Request(route=caller_route))
