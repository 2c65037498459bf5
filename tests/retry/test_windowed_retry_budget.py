from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.retry.windowed_retry_budget import RetryKind
from hoisthook.retry.windowed_retry_budget import WindowedRetryBudget


@given(
    st.lists(st.tuples(st.floats(0.0, 1.0), st.booleans()), max_size=200),
    st.floats(0.0, 1.0),
    st.floats(0.0, 10.0),
)
def test_no_window_holds_more_extra_tries_than_allowed(
    steps: list[tuple[float, bool]], ratio: float, extra: float
) -> None:
    window = 2.0
    budget = WindowedRetryBudget(ratio, window, extra)
    now = 0.0
    requests: list[float] = []
    tries: list[float] = []
    for gap, is_try in steps:
        now += gap
        if not is_try:
            budget.request(now)
            requests.append(now)
        elif budget.take(now):
            tries.append(now)
            begin = now - window
            made = sum(1 for moment in tries if moment >= begin)
            asked = sum(1 for moment in requests if moment >= begin)
            assert made <= ratio * asked + extra + 1e-9


def test_denied_tries_are_counted_and_come_back_with_time() -> None:
    budget = WindowedRetryBudget(0.0, 1.0, 1.0)
    assert budget.take(0.0)
    assert not budget.take(0.5)
    assert budget.denied == 1
    assert budget.take(1.5)


def test_reruns_leave_the_rest_to_requests_that_were_turned_away() -> None:
    budget = WindowedRetryBudget(0.0, 1.0, 10.0, rerun_share=0.2)
    reruns = [budget.take(0.0, RetryKind.RERUN) for _ in range(10)]
    redirects = [budget.take(0.0, RetryKind.REDIRECT) for _ in range(10)]
    assert (sum(reruns), sum(redirects)) == (2, 8)
    assert budget.take(1.5, RetryKind.RERUN)


def test_redirects_leave_no_more_to_reruns_than_the_whole() -> None:
    budget = WindowedRetryBudget(0.0, 1.0, 4.0, rerun_share=0.5)
    assert all(budget.take(0.0, RetryKind.REDIRECT) for _ in range(4))
    assert not budget.take(0.0, RetryKind.RERUN)


def test_fractions_of_a_try_add_up_over_the_nodes() -> None:
    draw = random.Random(1)
    nodes = [WindowedRetryBudget(0.0, 1.0, 0.3, rounding=draw.random()) for _ in range(1000)]
    granted = sum(node.take(0.0) + node.take(0.0) for node in nodes)
    assert 260 < granted < 340
