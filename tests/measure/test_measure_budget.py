from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.measure.measure_budget import MeasureBudget

EVENTS = st.lists(
    st.tuples(st.sampled_from(["try", "restart", "storm"]), st.floats(0.0, 0.7)), max_size=200
)


@given(EVENTS, st.floats(0.5, 10.0))
def test_no_window_holds_more_reads_than_the_rate_allows(
    events: list[tuple[str, float]], rate: float
) -> None:
    now = 0.0
    budget = MeasureBudget(rate, now)
    reads: list[float] = []
    for kind, wait in events:
        now += wait
        if kind == "restart":
            budget = MeasureBudget(rate, now)
        for _ in range(50 if kind == "storm" else 1):
            if budget.take(now):
                reads.append(now)
    for earlier, later in pairwise(reads):
        assert later - earlier >= 1.0 / rate - 1e-9


def test_a_rate_of_zero_forbids_reading() -> None:
    assert not MeasureBudget(0.0, 0.0).take(1e9)
