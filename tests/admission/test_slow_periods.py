from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.admission.slow_periods import SlowPeriods

STEP = 0.01


def seen(slow_periods: SlowPeriods, slowdowns: list[float], start: float = 0.0) -> float:
    now = start
    for slowdown in slowdowns:
        now += STEP
        slow_periods.reported(slowdown, now)
    return now


def spells(*, fast: int, slow: int, times: int, factor: float = 5.0) -> list[float]:
    return ([1.0] * fast + [factor] * slow) * times


def test_often_slow_servers_reports_are_renewed_sooner() -> None:
    restless, calm = SlowPeriods(), SlowPeriods()
    end = seen(restless, [*spells(fast=30, slow=10, times=40), 1.0])
    assert seen(calm, [*spells(fast=390, slow=10, times=4), 1.0]) == end
    assert restless.chance_of_change(end + 0.05) > 4 * calm.chance_of_change(end + 0.05)


def test_length_of_slow_moments_is_learned() -> None:
    slow_periods = SlowPeriods()
    seen(slow_periods, spells(fast=50, slow=40, times=30))
    assert 0.3 < slow_periods.spell_seconds < 0.5


def test_cold_start_is_no_slow_moment_and_a_slow_moment_in_it_is() -> None:
    slow_periods = SlowPeriods()
    now = seen(slow_periods, [2.0] * 20)
    assert not slow_periods.is_slow
    now = seen(slow_periods, [10.0], now)
    assert slow_periods.is_slow
    assert slow_periods.base == 2.0
    seen(slow_periods, [1.0], now)
    assert not slow_periods.is_slow
    assert slow_periods.base == 1.0


def test_first_report_of_a_slow_moment_is_known_as_one() -> None:
    slow_periods = SlowPeriods()
    seen(slow_periods, [4.0])
    assert slow_periods.is_slow


def test_slowness_that_lasts_becomes_the_base() -> None:
    slow_periods = SlowPeriods()
    now = seen(slow_periods, [1.0] * 200)
    seen(slow_periods, [4.0] * 200, now)
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
        assert slow_periods.spell_seconds > 0.0
        assert slow_periods.base <= slow_periods.slowdown


def test_degraded_server_is_known_by_its_pace_and_forgiven_with_time() -> None:
    speed = ServerSpeed()
    for _ in range(20):
        speed.finished(0.1, 0.6, 1.0, 5.0)
    assert speed.seconds_now(0.1, 5.0) > 0.5
    assert speed.seconds_now(0.1, 15.0) < 0.11


def test_moment_is_worth_holding_only_where_it_is_short_beside_what_it_costs() -> None:
    speed = ServerSpeed()
    now = seen(speed.slow_periods, [*spells(fast=40, slow=20, times=20), 5.0])
    assert speed.is_worth_holding(0.22, now)
    assert not speed.is_worth_holding(0.02, now)
