"""Callers' requests are counted by those that come while nothing runs beside."""

from __future__ import annotations

import heapq
import random

import pytest

from hoisthook.retry.caller_weight import COUNTED_SHARE
from hoisthook.retry.caller_weight import MAX_WEIGHT
from hoisthook.retry.caller_weight import UNKNOWN_RUNS_SECONDS
from hoisthook.retry.caller_weight import CallerWeight

WORK_SECONDS = 0.2
CALLERS_PER_SECOND = 10.0
SECONDS = 200.0


def played(runs_per_second: float, seed: int) -> tuple[float, float, int]:
    """Return what callers and calls are counted as, and how many callers there were."""
    draw = random.Random(seed)
    weight = CallerWeight(0.0)
    running = 0
    counted = {"caller": 0.0, "call": 0.0}
    callers = 0
    moments: list[tuple[float, str]] = [(draw.expovariate(runs_per_second), "begin")]
    heapq.heappush(moments, (draw.expovariate(CALLERS_PER_SECOND), "caller"))
    while moments[0][0] < SECONDS:
        now, what = heapq.heappop(moments)
        if what == "begin":
            running += 1
            if running == 1:
                weight.turned(now, is_idle=False)
            work = WORK_SECONDS * draw.lognormvariate(0.0, 0.3)
            heapq.heappush(moments, (now + 0.5 * work, "call"))
            heapq.heappush(moments, (now + work, "end"))
            heapq.heappush(moments, (now + draw.expovariate(runs_per_second), "begin"))
        elif what == "end":
            running -= 1
            if running == 0:
                weight.turned(now, is_idle=True)
        else:
            counted[what] += weight.weight(now)
            if what == "caller":
                callers += 1
                heapq.heappush(moments, (now + draw.expovariate(CALLERS_PER_SECOND), "caller"))
    return counted["caller"], counted["call"], callers


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("running", [0.3, 1.0, 1.8])
def test_most_callers_are_counted_and_no_more_than_there_are(running: float, seed: int) -> None:
    callers, calls, asked = played(running / WORK_SECONDS, seed)
    assert calls == 0.0
    assert 0.6 * asked < callers < asked


@pytest.mark.parametrize("seed", range(5))
def test_where_something_nearly_always_runs_few_are_counted(seed: int) -> None:
    callers, calls, asked = played(6.0 / WORK_SECONDS, seed)
    assert calls == 0.0
    assert callers < 0.5 * asked


def test_nothing_is_counted_while_runs_of_a_predecessor_may_make_calls() -> None:
    weight = CallerWeight(10.0)
    assert weight.weight(10.0 + 0.9 * UNKNOWN_RUNS_SECONDS) == 0.0
    assert weight.weight(10.0 + UNKNOWN_RUNS_SECONDS) == COUNTED_SHARE


def test_one_request_stands_for_a_bounded_number() -> None:
    weight = CallerWeight(0.0)
    weight.turned(0.0, is_idle=False)
    weight.turned(1000.0, is_idle=True)
    assert weight.weight(1000.0) == COUNTED_SHARE * MAX_WEIGHT
