"""Callers' requests are told from calls by what runs where they begin."""

from __future__ import annotations

import heapq
import random

import pytest

from hoisthook.identity import RouteName
from hoisthook.retry.caller_share import COUNTED_SHARE
from hoisthook.retry.caller_share import CallerShares
from hoisthook.retry.idle_tracker import UNKNOWN
from hoisthook.retry.idle_tracker import UNKNOWN_RUNS_SECONDS
from hoisthook.retry.idle_tracker import IdleTracker

WORK_SECONDS = 0.2
CALLERS_PER_SECOND = 10.0
SECONDS = 120.0
OWN = RouteName("own")
CALLED = RouteName("called")
MIXED = RouteName("mixed")


def played(running: float, seed: int) -> tuple[dict[RouteName, float], dict[RouteName, int]]:
    """Return what each route's requests are counted as, and how many callers sent.

    Each run makes a call in its middle; callers ask two routes, one of which is called as well.
    """
    draw = random.Random(seed)
    idle = IdleTracker(0.0)
    shares = CallerShares()
    runs = 0
    counted = dict.fromkeys((OWN, CALLED, MIXED), 0.0)
    asked = dict.fromkeys((OWN, CALLED, MIXED), 0)
    moments: list[tuple[float, str]] = [(draw.expovariate(running / WORK_SECONDS), "begin")]
    heapq.heappush(moments, (draw.expovariate(CALLERS_PER_SECOND), "caller"))
    while moments[0][0] < SECONDS:
        now, what = heapq.heappop(moments)
        if what == "begin":
            runs += 1
            idle.turned(now, is_idle=False)
            work = WORK_SECONDS * draw.lognormvariate(0.0, 0.3)
            heapq.heappush(moments, (now + 0.5 * work, "call"))
            heapq.heappush(moments, (now + work, "end"))
            begins = now + draw.expovariate(running / WORK_SECONDS)
            heapq.heappush(moments, (begins, "begin"))
            continue
        if what == "end":
            runs -= 1
            idle.turned(now, is_idle=runs == 0)
            continue
        if what == "caller":
            heapq.heappush(moments, (now + draw.expovariate(CALLERS_PER_SECOND), "caller"))
            route = draw.choice((OWN, MIXED))
            asked[route] += 1
        else:
            route = draw.choice((CALLED, MIXED))
        shares.learn(route, idle.idle_observation(now))
        counted[route] += shares.counted(route)
    return counted, asked


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("running", [0.3, 1.0, 2.0])
def test_callers_are_counted_and_calls_are_not(running: float, seed: int) -> None:
    counted, asked = played(running, seed)
    assert 0.6 * asked[OWN] < counted[OWN] <= asked[OWN]
    assert counted[CALLED] == 0.0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("running", [0.3, 1.0, 2.0])
def test_of_a_route_that_both_use_callers_are_counted(running: float, seed: int) -> None:
    counted, asked = played(running, seed)
    assert 0.5 * asked[MIXED] < counted[MIXED] < 1.2 * asked[MIXED]


@pytest.mark.parametrize("seed", range(5))
def test_where_something_nearly_always_runs_no_more_is_counted_than_there_is(seed: int) -> None:
    counted, asked = played(6.0, seed)
    assert counted[OWN] <= asked[OWN]
    assert counted[CALLED] == 0.0


def test_what_is_known_holds_while_something_always_runs() -> None:
    idle = IdleTracker(0.0)
    shares = CallerShares()
    for second in range(10, 60):
        shares.learn(OWN, idle.idle_observation(float(second)))
    known = shares.counted(OWN)
    assert known > 0.9 * COUNTED_SHARE
    idle.turned(60.0, is_idle=False)
    for number in range(2000):
        shares.learn(OWN, idle.idle_observation(100.0 + 0.01 * number))
    assert shares.counted(OWN) > 0.95 * known


def test_nothing_is_learned_while_runs_of_a_predecessor_may_make_calls() -> None:
    idle = IdleTracker(10.0)
    assert idle.idle_observation(10.0 + 0.9 * UNKNOWN_RUNS_SECONDS) == UNKNOWN
    assert idle.idle_observation(10.0 + UNKNOWN_RUNS_SECONDS).is_idle
    shares = CallerShares()
    shares.learn(OWN, UNKNOWN)
    assert shares.counted(OWN) == 0.0


def test_backend_server_that_runs_nothing_runs_nothing_of_a_predecessor() -> None:
    idle = IdleTracker(10.0)
    idle.emptied(10.1)
    assert idle.idle_observation(10.1).is_idle
