"""Requests of callers are distinguished from calls by the idle time of their ingress nodes."""

from __future__ import annotations

import heapq
import random

import pytest

from hoisthook.identity import RouteName
from hoisthook.retry.caller_share import CALLER_WEIGHT_FACTOR
from hoisthook.retry.caller_share import CallerShares
from hoisthook.retry.idle_tracker import PREDECESSOR_RUN_SECONDS
from hoisthook.retry.idle_tracker import UNKNOWN
from hoisthook.retry.idle_tracker import IdleTracker

WORK_SECONDS = 0.2
CALLERS_PER_SECOND = 10.0
SECONDS = 120.0
CALLERS_ONLY = RouteName("own")
CALLS_ONLY = RouteName("called")
MIXED = RouteName("mixed")


def simulate(running: float, seed: int) -> tuple[dict[RouteName, float], dict[RouteName, int]]:
    """Return, per route, the weighted count of callers' requests and the number they sent.

    Each execution makes one call halfway. Callers use the routes `CALLERS_ONLY` and `MIXED`,
    calls the routes `CALLS_ONLY` and `MIXED`. ``running`` is the mean number of executions at
    once.
    """
    randomness = random.Random(seed)
    idle = IdleTracker(0.0)
    shares = CallerShares()
    runs = 0
    counted = dict.fromkeys((CALLERS_ONLY, CALLS_ONLY, MIXED), 0.0)
    sent = dict.fromkeys((CALLERS_ONLY, CALLS_ONLY, MIXED), 0)
    events: list[tuple[float, str]] = [(randomness.expovariate(running / WORK_SECONDS), "begin")]
    heapq.heappush(events, (randomness.expovariate(CALLERS_PER_SECOND), "caller"))
    while events[0][0] < SECONDS:
        now, event = heapq.heappop(events)
        if event == "begin":
            runs += 1
            idle.set_idle(now, is_idle=False)
            work = WORK_SECONDS * randomness.lognormvariate(0.0, 0.3)
            heapq.heappush(events, (now + 0.5 * work, "call"))
            heapq.heappush(events, (now + work, "end"))
            next_begin = now + randomness.expovariate(running / WORK_SECONDS)
            heapq.heappush(events, (next_begin, "begin"))
            continue
        if event == "end":
            runs -= 1
            idle.set_idle(now, is_idle=runs == 0)
            continue
        if event == "caller":
            heapq.heappush(events, (now + randomness.expovariate(CALLERS_PER_SECOND), "caller"))
            route = randomness.choice((CALLERS_ONLY, MIXED))
            sent[route] += 1
        else:
            route = randomness.choice((CALLS_ONLY, MIXED))
        shares.learn(route, idle.idle_observation(now))
        counted[route] += shares.caller_weight(route)
    return counted, sent


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("running", [0.3, 1.0, 2.0])
def test_callers_are_counted_and_calls_are_not(running: float, seed: int) -> None:
    counted, sent = simulate(running, seed)
    assert 0.6 * sent[CALLERS_ONLY] < counted[CALLERS_ONLY] <= sent[CALLERS_ONLY]
    assert counted[CALLS_ONLY] == 0.0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("running", [0.3, 1.0, 2.0])
def test_callers_are_counted_on_a_route_that_is_called_as_well(running: float, seed: int) -> None:
    counted, sent = simulate(running, seed)
    assert 0.5 * sent[MIXED] < counted[MIXED] < 1.2 * sent[MIXED]


@pytest.mark.parametrize("seed", range(5))
def test_nearly_always_busy_backend_server_does_not_inflate_the_count(seed: int) -> None:
    counted, sent = simulate(6.0, seed)
    assert counted[CALLERS_ONLY] <= sent[CALLERS_ONLY]
    assert counted[CALLS_ONLY] == 0.0


def test_estimate_holds_while_the_backend_server_is_always_busy() -> None:
    idle = IdleTracker(0.0)
    shares = CallerShares()
    for second in range(10, 60):
        shares.learn(CALLERS_ONLY, idle.idle_observation(float(second)))
    learned = shares.caller_weight(CALLERS_ONLY)
    assert learned > 0.9 * CALLER_WEIGHT_FACTOR
    idle.set_idle(60.0, is_idle=False)
    for number in range(2000):
        shares.learn(CALLERS_ONLY, idle.idle_observation(100.0 + 0.01 * number))
    assert shares.caller_weight(CALLERS_ONLY) > 0.95 * learned


def test_nothing_is_learned_while_runs_of_a_predecessor_may_make_calls() -> None:
    idle = IdleTracker(10.0)
    assert idle.idle_observation(10.0 + 0.9 * PREDECESSOR_RUN_SECONDS) == UNKNOWN
    assert idle.idle_observation(10.0 + PREDECESSOR_RUN_SECONDS).is_idle
    shares = CallerShares()
    shares.learn(CALLERS_ONLY, UNKNOWN)
    assert shares.caller_weight(CALLERS_ONLY) == 0.0


def test_idle_report_ends_the_wait_for_requests_of_a_predecessor() -> None:
    idle = IdleTracker(10.0)
    idle.confirm_idle(10.1)
    assert idle.idle_observation(10.1).is_idle
