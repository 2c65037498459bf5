"""The parent of a call is inferred from the requests that run when calls arrive."""

from __future__ import annotations

import random

from hoisthook.admission.running_requests import MIN_ARRIVALS
from hoisthook.admission.running_requests import RunningRequest
from hoisthook.admission.running_requests import RunningRequests
from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from tests.fakes import FakeClock

REGISTER = RouteName("register")
VERIFY = RouteName("verify")
LOOKUP = RouteName("lookup")
OWN = RouteName("own")


def running(route: RouteName, priority: int, name: str = "r") -> RunningRequest:
    return RunningRequest(RequestId(name), route, priority)


def learn(running_requests: RunningRequests, count: int = 2 * MIN_ARRIVALS) -> None:
    """Let each registration make a lookup; requests of `OWN` arrive with or without one running."""
    randomness = random.Random(7)
    for _ in range(count):
        request = running(REGISTER, 0)
        running_requests.begin(request)
        running_requests.arrived(LOOKUP)
        if randomness.random() < 0.5:
            running_requests.arrived(OWN)
        running_requests.end(request)
        running_requests.arrived(OWN)


def test_parent_of_a_call_is_the_request_that_makes_it() -> None:
    running_requests = RunningRequests(FakeClock())
    learn(running_requests)
    request = running(REGISTER, 0, "parent")
    running_requests.begin(request)
    assert running_requests.parent_of(LOOKUP) is request
    running_requests.end(request)
    assert running_requests.parent_of(LOOKUP) is None


def test_route_that_arrives_at_any_time_has_no_parent() -> None:
    running_requests = RunningRequests(FakeClock())
    learn(running_requests)
    running_requests.begin(running(REGISTER, 0))
    assert running_requests.parent_of(OWN) is None


def test_no_parent_is_assumed_before_enough_arrivals() -> None:
    running_requests = RunningRequests(FakeClock())
    learn(running_requests, MIN_ARRIVALS // 2)
    running_requests.begin(running(REGISTER, 0))
    assert running_requests.parent_of(LOOKUP) is None


def test_nothing_is_learned_where_a_route_runs_all_the_time() -> None:
    running_requests = RunningRequests(FakeClock())
    running_requests.begin(running(REGISTER, 0))
    for _ in range(4 * MIN_ARRIVALS):
        running_requests.arrived(LOOKUP)
        running_requests.arrived(OWN)
    assert running_requests.parent_of(LOOKUP) is None


def test_most_urgent_of_several_is_taken() -> None:
    running_requests = RunningRequests(FakeClock())
    learn(running_requests)
    running_requests.begin(running(REGISTER, 2, "later"))
    urgent = running(REGISTER, 0, "urgent")
    running_requests.begin(urgent)
    assert running_requests.parent_of(LOOKUP) is urgent


def test_who_calls_what_is_learned_anew_when_it_changes() -> None:
    running_requests = RunningRequests(FakeClock())
    learn(running_requests)
    for _ in range(20 * MIN_ARRIVALS):
        request = running(VERIFY, 1)
        running_requests.begin(request)
        running_requests.arrived(LOOKUP)
        running_requests.end(request)
        running_requests.arrived(OWN)
    running_requests.begin(running(REGISTER, 0))
    assert running_requests.parent_of(LOOKUP) is None
    verify = running(VERIFY, 1)
    running_requests.begin(verify)
    assert running_requests.parent_of(LOOKUP) is verify


def test_repeat_probability_is_the_mean_over_the_possible_parents() -> None:
    running_requests = RunningRequests(FakeClock())
    assert running_requests.repeat_probability(LOOKUP) == 0.0
    for repeat in (1.0, 0.5, 0.0, 0.0):
        running_requests.begin(RunningRequest(RequestId("r"), REGISTER, 0, repeat))
    assert running_requests.repeat_probability(LOOKUP) == 0.375


def test_repeat_probability_ignores_requests_that_cannot_be_the_parent() -> None:
    running_requests = RunningRequests(FakeClock())
    learn(running_requests)
    running_requests.begin(RunningRequest(RequestId("again"), REGISTER, 0, 1.0))
    running_requests.begin(running(VERIFY, 0))
    assert running_requests.repeat_probability(LOOKUP) == 1.0
