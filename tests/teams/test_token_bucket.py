from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.teams.token_bucket import TokenBucket

STEPS = st.lists(st.tuples(st.floats(0, 3), st.integers(0, 30), st.booleans()), max_size=40)


@given(st.floats(0.1, 50), st.floats(1, 60), STEPS, st.floats(0.1, 6))
def test_no_window_takes_more_than_depth_and_rate(
    rate: float, depth: float, steps: list[tuple[float, int, bool]], window: float
) -> None:
    bucket = TokenBucket(rate, depth, 0.0, 0.0)
    now = 0.0
    used: list[tuple[float, float]] = []
    for pause, wanted, is_given_back in steps:
        now += pause
        taken = bucket.take(wanted, now)
        if is_given_back:
            bucket.put_back(taken, now)
        else:
            used.append((now, taken))
    for start, _ in used:
        within = sum(count for at, count in used if start <= at <= start + window)
        assert within <= depth + rate * window + 1e-6


@given(st.floats(0, 10), st.floats(0, 10))
def test_what_is_split_off_is_missing(level: float, wanted: float) -> None:
    bucket = TokenBucket(0.0, 10.0, level, 0.0)
    taken = bucket.split(wanted, 0.0)
    assert taken <= wanted
    assert abs(bucket.level(0.0) + taken - level) < 1e-9


def test_what_others_lent_stands_above_the_depth_and_does_not_grow() -> None:
    bucket = TokenBucket(1.0, 2.0, 2.0, 0.0)
    bucket.add(3.0, 0.0)
    assert bucket.level(100.0) == 5.0


def test_a_lower_depth_holds_at_once() -> None:
    bucket = TokenBucket(1.0, 10.0, 10.0, 0.0)
    bucket.resize(1.0, 3.0, 0.0)
    assert bucket.level(0.0) == 3.0


def test_a_clock_that_stands_still_gives_nothing() -> None:
    bucket = TokenBucket(5.0, 10.0, 0.0, 100.0)
    assert bucket.take(1, 99.0) == 0
