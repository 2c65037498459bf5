from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.admission.slow_periods import SlowPeriods

STEP = 0.01


def report_all(slow_periods: SlowPeriods, slowdowns: list[float], start: float = 0.0) -> float:
    now = start
    for slowdown in slowdowns:
        now += STEP
        slow_periods.reported(slowdown, now)
    return now


def alternating(*, fast: int, slow: int, times: int, factor: float = 5.0) -> list[float]:
    return ([1.0] * fast + [factor] * slow) * times


def test_reports_of_an_unsteady_server_become_unreliable_sooner() -> None:
    unsteady, calm = SlowPeriods(), SlowPeriods()
    end = report_all(unsteady, [*alternating(fast=30, slow=10, times=40), 1.0])
    assert report_all(calm, [*alternating(fast=390, slow=10, times=4), 1.0]) == end
    assert unsteady.chance_of_change(end + 0.05) > 4 * calm.chance_of_change(end + 0.05)


def test_duration_of_slow_periods_is_learned() -> None:
    slow_periods = SlowPeriods()
    report_all(slow_periods, alternating(fast=50, slow=40, times=30))
    assert 0.3 < slow_periods.mean_slow_seconds < 0.5


def test_cold_start_is_no_slow_period_but_may_contain_one() -> None:
    slow_periods = SlowPeriods()
    now = report_all(slow_periods, [2.0] * 20)
    assert not slow_periods.is_slow
    now = report_all(slow_periods, [10.0], now)
    assert slow_periods.is_slow
    assert slow_periods.base == 2.0
    report_all(slow_periods, [1.0], now)
    assert not slow_periods.is_slow
    assert slow_periods.base == 1.0


def test_slow_first_report_is_recognised() -> None:
    slow_periods = SlowPeriods()
    report_all(slow_periods, [4.0])
    assert slow_periods.is_slow


def test_slowness_that_lasts_becomes_the_base() -> None:
    slow_periods = SlowPeriods()
    now = report_all(slow_periods, [1.0] * 200)
    report_all(slow_periods, [4.0] * 200, now)
    assert not slow_periods.is_slow


@given(st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(0.1, 50.0)), max_size=60))
def test_chances_and_lengths_are_sound_whatever_is_reported(
    reports: list[tuple[float, float]],
) -> None:
    slow_periods = SlowPeriods()
    now = 0.0
    for gap, slowdown in reports:
        now += gap
        slow_periods.reported(slowdown, now)
        assert 0.0 <= slow_periods.chance_of_change(now + gap) <= 1.0
        assert slow_periods.mean_slow_seconds > 0.0
        assert slow_periods.base <= slow_periods.slowdown


def test_degraded_server_is_detected_by_its_pace_which_decays() -> None:
    speed = ServerSpeed()
    for _ in range(20):
        speed.finished(0.1, 0.6, 1.0, 5.0)
    assert speed.seconds_now(0.1, 5.0) > 0.5
    assert speed.seconds_now(0.1, 15.0) < 0.11


def test_holding_is_worthwhile_only_where_the_slow_period_is_shorter_than_the_delay_it_causes() -> (
    None
):
    speed = ServerSpeed()
    now = report_all(speed.slow_periods, [*alternating(fast=40, slow=20, times=20), 5.0])
    assert speed.is_worth_holding(0.22, now)
    assert not speed.is_worth_holding(0.02, now)
