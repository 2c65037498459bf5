"""The limit that a backend server names, without a server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.admission.cold_limit import RESTART_SECONDS
from hoisthook.admission.rate_limit import MAX_WINDOW_SECONDS
from hoisthook.admission.rate_limit import RateLimit
from hoisthook.admission.send_log import SendLog

NOW = 100.0
STEP_SECONDS = 0.01
# Of the platform: any window gets at most the limit times the factor, plus the extra requests.
WINDOW_SECONDS = 4.0
FACTOR = 1.5
EXTRA = 5


def send_all(limit: RateLimit, sends: SendLog, start: float, seconds: float) -> list[float]:
    """Send whenever the limit admits a request; return the times."""
    times = []
    for step in range(round(seconds / STEP_SECONDS)):
        now = start + step * STEP_SECONDS
        while limit.available(now) > 0:
            sends.reserve()
            sends.sent(now)
            times.append(now)
    return times


def most(times: list[float]) -> int:
    """Return the requests in the fullest window."""
    counts = (sum(1 for at in times if start <= at < start + WINDOW_SECONDS) for start in times)
    return max(counts, default=0)


@given(st.floats(min_value=0.0, max_value=60.0))
def test_any_window_stays_within_the_limit_and_uses_it(per_second: float) -> None:
    sends = SendLog()
    limit = RateLimit(NOW - 10.0, sends)
    limit.named(per_second)
    times = send_all(limit, sends, NOW, 12.0)
    assert most(times) <= FACTOR * per_second * WINDOW_SECONDS + EXTRA
    assert len(times) >= 0.9 * per_second * 12.0 - 1


def test_restarts_in_series_do_not_renew_the_limit() -> None:
    """Guards against nodes that are killed again and again beside a server in need."""
    times: list[float] = []
    start = NOW
    for _ in range(12):
        sends = SendLog()
        limit = RateLimit(start, sends)
        limit.named(5.0)
        times += send_all(limit, sends, start, 0.3)
        start += 0.3 + RESTART_SECONDS
    assert most(times) <= FACTOR * 5.0 * WINDOW_SECONDS + EXTRA


def test_wait_for_the_limit_is_that_of_the_requests_ahead() -> None:
    sends = SendLog()
    limit = RateLimit(NOW - 10.0, sends)
    limit.named(2.0)
    send_all(limit, sends, NOW, STEP_SECONDS)
    assert limit.seconds_until_available(NOW) == 1.0
    assert limit.seconds_until_available(NOW, ahead=1) == 1.0
    assert limit.seconds_until_available(NOW, ahead=2) == 2.0


def test_limit_of_zero_admits_one_request_a_window() -> None:
    sends = SendLog()
    limit = RateLimit(NOW - 10.0, sends)
    limit.named(0.0)
    assert len(send_all(limit, sends, NOW, 3 * MAX_WINDOW_SECONDS)) == 3


def test_ended_limit_admits_everything() -> None:
    limit = RateLimit(NOW - 10.0, SendLog())
    limit.named(0.0)
    limit.ended()
    assert limit.available(NOW) > 1000
    assert limit.seconds_until_available(NOW, ahead=1000) == 0.0
