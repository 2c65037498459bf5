from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

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
