from __future__ import annotations

import pytest

from hoisthook.admission.work_times import WorkTimes
from hoisthook.identity import RouteName

ROUTE = RouteName("r")


@pytest.mark.parametrize("target_left", [0.0, -0.5])
def test_unknown_work_of_a_request_whose_target_is_over_takes_some_time(
    target_left: float,
) -> None:
    times = WorkTimes()
    assert times.usual(ROUTE, target_left) > 0
    assert times.spread(ROUTE, target_left) > 0


def test_work_is_known_after_a_few_answers_with_the_slowdown_taken_out() -> None:
    times = WorkTimes()
    for _ in range(6):
        times.learn(ROUTE, 0.8, 4.0)
    assert times.usual(ROUTE, 1.0) == pytest.approx(0.2)
    assert times.spread(ROUTE, 1.0) == pytest.approx(0.0)
