from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import TeamName
from hoisthook.teams.quota_bounds import QuotaBounds
from hoisthook.teams.quota_ledger import QuotaLedger
from hoisthook.teams.quota_ledger import Share
from hoisthook.teams.quota_ledger import UnusedToken
from hoisthook.teams.team import Quota
from hoisthook.teams.window_count import ENTRY_SECONDS
from hoisthook.teams.window_count import WindowCount
from hoisthook.token_bucket import TokenBucket

TEAM = TeamName("port")
# Pause before a request, number of requested tokens, delay of their return (None if they are used).
STEPS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, 60), st.none() | st.floats(0, 3)), max_size=40
)


@given(st.floats(0.5, 50), st.floats(1, 60), st.floats(0, 0.5), st.floats(0, 30), STEPS)
def test_no_window_exceeds_the_bound(
    rate: float,
    burst: float,
    over: float,
    extra: float,
    steps: list[tuple[float, int, float | None]],
) -> None:
    bounds = QuotaBounds(5.0, over, extra)
    share = Share(Quota(rate, burst), 1.0)
    ledger = QuotaLedger(bounds, 0.0)
    now = 1.0
    used: list[tuple[float, float]] = []
    returning: list[tuple[float, float]] = []
    for pause, wanted, delay in steps:
        now += pause
        returned = [granted_at for at, granted_at in returning if at <= now]
        ledger.put_back(
            TEAM, share, [UnusedToken(now - granted_at, 0) for granted_at in returned], now
        )
        returning = [(at, granted_at) for at, granted_at in returning if at > now]
        granted = ledger.grant(TEAM, share, wanted, now).count
        if delay is None:
            used.append((now, granted))
        else:
            returning += [(now + delay, now)] * granted
    for start, _ in used:
        in_window = sum(count for at, count in used if start <= at < start + 5.0)
        assert in_window <= bounds.allowed(share.quota) + 1e-6


@given(st.floats(1, 100), st.floats(1, 100), st.floats(0, 5))
def test_replaced_ledger_stays_within_the_bound(
    rate: float, burst: float, replaced_at: float
) -> None:
    bounds = QuotaBounds(5.0, 0.1, 20.0)
    share = Share(Quota(rate, burst), 1.0)
    # A ledger with a full bucket grants all it can and is then replaced by one without its state.
    before = QuotaLedger(bounds, -100.0)
    granted = sum(
        before.grant(TEAM, share, 1000, n / 50).count for n in range(int(50 * replaced_at))
    )
    after = QuotaLedger(bounds, replaced_at)
    granted += sum(
        after.grant(TEAM, share, 1000, replaced_at + n / 50).count
        for n in range(int(50 * (5.0 - replaced_at)))
    )
    assert granted <= bounds.allowed(share.quota) + 1e-6


def test_a_team_over_its_quota_gets_each_window_full() -> None:
    bounds = QuotaBounds(5.0, 0.1, 20.0)
    share = Share(Quota(95.0, 95.0), 1.0)
    ledger = QuotaLedger(bounds, -100.0)
    granted = sum(ledger.grant(TEAM, share, 100, n / 10).count for n in range(200))
    assert granted >= 3.9 * (95.0 * 5.0 + 95.0)


def test_an_idle_team_gets_its_burst_at_once() -> None:
    bounds = QuotaBounds(5.0, 0.0, 0.0)
    ledger = QuotaLedger(bounds, -100.0)
    assert ledger.grant(TEAM, Share(Quota(10.0, 30.0), 1.0), 50, 0.0).count == 30


def test_a_lower_depth_holds_at_once() -> None:
    bucket = TokenBucket(1.0, 10.0, 10.0, 0.0)
    bucket.resize(1.0, 3.0, 0.0)
    assert bucket.level(0.0) == 3.0


def test_a_clock_that_goes_back_adds_no_tokens() -> None:
    bucket = TokenBucket(5.0, 10.0, 0.0, 100.0)
    assert bucket.level(99.0) == 0.0
    assert bucket.seconds_to(1.0, 99.0) == 0.2


def test_returned_tokens_leave_the_window() -> None:
    granted = WindowCount(5.0)
    granted.add(3.0, 0.0)
    granted.add(4.0, 1.0)
    granted.remove_one(1.0)
    granted.remove_one(0.5)
    assert granted.total(1.0) == 5.0
    assert granted.total(5.5) == 3.0
    assert granted.seconds_until_expiry(5.5) == pytest.approx(0.5 + ENTRY_SECONDS)
    assert granted.total(6.1) == 0.0


def test_a_steady_flow_leaves_the_window_as_steadily() -> None:
    granted = WindowCount(5.0)
    for number in range(2000):
        granted.add(1.0, number / 200)
    assert 1000 <= granted.total(2000 / 200) <= 1000 + 200 * 2 * ENTRY_SECONDS
    assert granted.total(2200 / 200) <= 800 + 200 * 2 * ENTRY_SECONDS
