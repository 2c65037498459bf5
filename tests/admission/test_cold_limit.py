"""Rate limit for a cold backend server."""

from __future__ import annotations

from bisect import bisect_right

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.admission.cold_limit import WINDOW_SECONDS
from hoisthook.admission.cold_limit import ColdLimit
from hoisthook.admission.send_log import SendLog

LIMIT = 5
NOW = 100.0


def cold_limit(limit: int | None = LIMIT) -> ColdLimit:
    """Return the limit of a process whose first window is over."""
    cold = ColdLimit(NOW - 10.0, SendLog())
    cold.set_rate_limit(limit)
    return cold


def send(cold: ColdLimit, now: float, count: int = 1) -> None:
    for _ in range(count):
        cold.sends.reserve()
        cold.sends.sent(now)


def test_cold_server_gets_no_more_than_its_bound_in_any_second() -> None:
    cold = cold_limit()
    cold.observed(3.0, NOW, NOW)
    send(cold, NOW, LIMIT)
    assert cold.available(NOW + 0.9) == 0
    assert cold.available(NOW + WINDOW_SECONDS) == LIMIT


def test_warm_server_is_not_bounded_while_it_is_known_to_be_warm() -> None:
    cold = cold_limit()
    for _ in range(4):
        cold.observed(0.0, NOW, NOW)
        send(cold, NOW + 0.001, LIMIT)
    # As many were sent since the last observation as the limit allows if it has turned cold since.
    assert cold.available(NOW + 0.01) == 0
    assert cold.is_read_worthwhile(NOW + 0.01)
    cold.observed(0.0, NOW + 0.01, NOW + 0.012)
    assert cold.available(NOW + 0.02) == LIMIT


def test_late_announcement_does_not_mark_a_cold_server_as_warm() -> None:
    cold = cold_limit()
    cold.observed(3.0, NOW, NOW)
    cold.announced(0.0, NOW + 0.1)
    assert cold.is_cold(NOW + 0.2)


def test_first_second_of_a_process_counts_as_full() -> None:
    cold = ColdLimit(NOW, SendLog())
    cold.set_rate_limit(LIMIT)
    cold.observed(3.0, NOW, NOW)
    assert cold.available(NOW + 0.5) == 0
    assert cold.seconds_until_available(NOW + 0.5) > 0
    assert cold.available(NOW + WINDOW_SECONDS) == LIMIT


def test_first_second_is_free_where_the_server_turned_cold_after_the_predecessors_end() -> None:
    """This happens after a restart of all instances with their backend servers."""
    cold = ColdLimit(NOW, SendLog())
    cold.set_rate_limit(LIMIT, 3.0)
    cold.observed(2.9, NOW + 0.05, NOW + 0.06)
    assert cold.available(NOW + 0.1) == LIMIT


def test_first_second_is_full_where_it_turned_cold_before() -> None:
    cold = ColdLimit(NOW, SendLog())
    cold.set_rate_limit(LIMIT, 3.0)
    cold.observed(2.5, NOW + 0.05, NOW + 0.06)
    assert cold.available(NOW + 0.1) == 0
    # It also counts as full if the start of the cold phase is unknown.
    cold.observed(5.0, NOW + 0.05, NOW + 0.06)
    assert cold.available(NOW + 0.1) == 0


def test_admitted_requests_that_are_not_sent_yet_count() -> None:
    cold = cold_limit()
    cold.observed(3.0, NOW, NOW)
    for _ in range(LIMIT):
        cold.sends.reserve()
    assert cold.available(NOW) == 0
    cold.sends.release()
    assert cold.available(NOW) == 1
    cold.sends.sent(NOW + 5.0)
    # A request that is sent late counts from then on.
    assert cold.available(NOW + 5.0 + 0.5) == 1


def test_wait_depends_on_the_position_in_the_queue() -> None:
    cold = cold_limit(2)
    cold.observed(9.0, NOW, NOW)
    send(cold, NOW)
    send(cold, NOW + 0.5)
    assert round(cold.seconds_until_available(NOW + 0.6), 3) == round(WINDOW_SECONDS - 0.6, 3)
    assert round(cold.seconds_until_available(NOW + 0.6, 1), 3) == round(WINDOW_SECONDS - 0.1, 3)
    assert cold.seconds_until_available(NOW + 2.0) == 0.0


def test_another_incarnation_is_not_known_to_be_warm() -> None:
    cold = cold_limit()
    cold.observed(0.0, NOW, NOW)
    cold.forget()
    send(cold, NOW, LIMIT)
    assert cold.available(NOW) == 0


def test_nothing_is_bounded_where_operators_set_no_rate() -> None:
    cold = cold_limit(None)
    send(cold, NOW, 1000)
    assert cold.available(NOW) > 1000
    assert not cold.is_read_worthwhile(NOW)


@given(
    turned_cold=st.floats(0.0, 5.0),
    gaps=st.lists(st.floats(0.0, 0.2), min_size=30, max_size=150),
    reads=st.lists(st.booleans(), min_size=150, max_size=150),
)
def test_bound_holds_where_the_server_turns_cold_unobserved(
    turned_cold: float, gaps: list[float], reads: list[bool]
) -> None:
    """A node that sends whenever it may, and reads at random times, keeps the limit."""
    cold = cold_limit()
    cold.observed(0.0, NOW, NOW)
    cold_from = NOW + turned_cold
    now = NOW
    sent: list[float] = []
    for gap, is_read in zip(gaps, reads, strict=False):
        now += gap
        if is_read:
            left = cold_from + 3.0 - now if now >= cold_from else 0.0
            cold.observed(max(0.0, left), now, now)
        while cold.available(now) > 0 and len(sent) < 10_000:
            send(cold, now)
            if cold_from <= now < cold_from + 3.0:
                sent.append(now)
            elif len(sent) == 0 and not cold.is_cold(now) and cold.is_read_worthwhile(now):
                break
    for number, at in enumerate(sent):
        assert bisect_right(sent, at + 1.0) - number <= LIMIT
