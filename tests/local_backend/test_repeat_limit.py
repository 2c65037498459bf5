from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from hoisthook.identity import NodeId
from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.local_backend.repeat_limit import MAX_CLOSED_SECONDS
from hoisthook.local_backend.repeat_limit import RepeatLimit
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival import Arrival
from hoisthook.retry.arrival_budget import RetrySettings
from hoisthook.retry.idle_tracker import UNKNOWN
from hoisthook.retry.idle_tracker import IdleObservation
from standin.mesh_system import ListLog
from tests.fakes import FakeClock

ME = NodeId("me")


@dataclass
class Nodes:
    ids: list[NodeId] = field(default_factory=lambda: [ME])
    is_complete: bool = True

    @property
    def digest(self) -> int:
        return len(self.ids)

    def nodes_of_own_service(self) -> list[NodeId]:
        return self.ids


@dataclass
class Request:
    arrival: Arrival = Arrival.FIRST
    route: RouteName = field(default=RouteName("route"))
    idle_observation: IdleObservation = UNKNOWN
    by_repeat: float = 0.0
    request_id: RequestId = field(default=RequestId("r"))


def limit(nodes: Nodes, clock: FakeClock, *, ratio: float = 0.0) -> RepeatLimit:
    return RepeatLimit(ME, nodes, RetrySettings(ratio, 10.0, 40.0), clock, ListLog())


def repeats(of: RepeatLimit, tries: int = 100) -> int:
    again = Request(Arrival.REDIRECTED)
    return sum(of.arrives(again) is None for _ in range(tries))


def test_nothing_accrues_before_all_nodes_are_known() -> None:
    clock = FakeClock()
    nodes = Nodes(is_complete=False)
    fresh = limit(nodes, clock)
    fresh.arrives(Request())
    clock.advance(100.0)
    assert repeats(fresh) == 0
    nodes.is_complete = True
    fresh.arrives(Request())
    clock.advance(100.0)
    assert repeats(fresh) == 10


def test_part_follows_the_nodes_of_the_service() -> None:
    clock = FakeClock()
    nodes = Nodes()
    shared = limit(nodes, clock)
    shared.arrives(Request())
    clock.advance(100.0)
    nodes.ids = [ME, *(NodeId(f"other-{number}") for number in range(3))]
    assert repeats(shared) == 2


def test_repeat_beyond_the_budget_is_refused_with_a_time_to_come_back() -> None:
    clock = FakeClock()
    spent = limit(Nodes(), clock)
    refused = spent.refuse(Request(Arrival.REDIRECTED))
    assert refused is not None
    assert refused.code is ResultCode.RETRY_BUDGET_SPENT
    assert 0.0 < refused.retry_after <= MAX_CLOSED_SECONDS
    assert spent.refuse(Request()) is None


def test_room_is_taken_where_a_repeat_arrives_not_where_it_is_asked_for() -> None:
    clock = FakeClock()
    saved = limit(Nodes(), clock)
    saved.arrives(Request())
    clock.advance(100.0)
    for _ in range(100):
        assert saved.refuse(Request(Arrival.REDIRECTED)) is None
    assert repeats(saved) == 10


def test_repeats_are_held_where_a_service_that_they_call_owes() -> None:
    clock = FakeClock()
    called = limit(Nodes(), clock)
    called.arrives(Request())
    for _ in range(10):
        called.arrives(Request(by_repeat=1.0))
    assert called.owes_for(Request())
    caller = limit(Nodes(), clock)
    caller.arrives(Request())
    clock.advance(100.0)
    caller.called_owes(Request())
    assert caller.refuse(Request(Arrival.REDIRECTED)) is None
    caller.called_owes(Request(by_repeat=0.1))
    assert caller.refuse(Request(Arrival.REDIRECTED)) is not None
    assert caller.refuse(Request()) is None
    clock.advance(5.0)
    assert caller.refuse(Request(Arrival.REDIRECTED)) is None
    assert not called.owes_for(Request())


def test_status_adds_up_what_arrived_and_what_was_counted() -> None:
    clock = FakeClock()
    told = limit(Nodes(), clock)
    told.arrives(Request(idle_observation=IdleObservation(1.0, is_idle=True)))
    told.arrives(Request(by_repeat=0.25, route=RouteName("called")))
    clock.advance(100.0)
    assert repeats(told, 3) == 3
    status = told.status()
    assert status.arrived == 3.25
    assert 0.0 < status.requests <= 2.0
    assert (status.part, status.nodes) == (40.0, 1)
    assert status.level == 7.0


def test_callers_request_is_by_no_repeat_whatever_runs_where_it_begins() -> None:
    clock = FakeClock()
    told = limit(Nodes(), clock)
    for _ in range(1000):
        told.arrives(Request(idle_observation=IdleObservation(1.0, is_idle=True)))
    before = told.status().arrived
    told.arrives(request := Request(by_repeat=1.0))
    assert request.by_repeat < 0.1
    assert told.status().arrived - before < 0.1


def test_nodes_hold_no_repeats_for_callers_requests_to_a_service_that_owes() -> None:
    clock = FakeClock()
    called = limit(Nodes(), clock)
    asked = RouteName("asked")
    for _ in range(100):
        called.arrives(Request(route=asked, idle_observation=IdleObservation(1.0, is_idle=True)))
    for _ in range(10):
        called.arrives(Request(by_repeat=1.0))
    assert called.owes_for(Request())
    assert not called.owes_for(Request(route=asked))
