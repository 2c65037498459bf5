from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.retry.hedge_timer import HedgeTimer
from hoisthook.retry.retry_budget import MAX_SAVED
from hoisthook.retry.retry_budget import RetryBudget


@given(st.lists(st.booleans(), max_size=2000), st.floats(0.0, 5.0))
def test_extra_tries_stay_within_the_share(calls: list[bool], percent: float) -> None:
    budget = RetryBudget(percent)
    count = 0
    for is_call in calls:
        if is_call:
            count += 1
            budget.call()
        else:
            budget.take()
        assert budget.spent <= count * percent / 100.0 + MAX_SAVED


def layers_with_failing_leaf(layers: int, calls: int, percent: float) -> float:
    """Return the leaf's load as a multiple of the calls at the top."""
    budgets = [RetryBudget(percent) for _ in range(layers)]
    leaf = 0

    def send(layer: int) -> None:
        nonlocal leaf
        if layer == layers:
            leaf += 1
            return
        budgets[layer].call()
        send(layer + 1)
        if budgets[layer].take():
            send(layer + 1)

    for _ in range(calls):
        send(0)
    return leaf / calls


def test_three_layers_with_a_failing_leaf_load_it_at_most_one_point_two_times() -> None:
    assert layers_with_failing_leaf(3, 20_000, 4.0) <= 1.2


def test_hedge_delay_does_not_follow_slow_answers() -> None:
    """A high quantile would: if 5 of 100 answers are slow, the delay grows to their latency."""
    timer = HedgeTimer()
    for number in range(20_000):
        timer.answered(0.400 if number % 20 == 0 else 0.040)
    assert 0.07 < timer.delay < 0.10


def test_rejected_attempt_is_refunded() -> None:
    budget = RetryBudget(4.0)
    assert budget.take()
    budget.give_back()
    assert budget.take()
    assert not budget.take()
