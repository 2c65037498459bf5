from __future__ import annotations

from hoisthook.membership.pause_guard import PauseGuard


def test_regular_ticks_are_no_pause() -> None:
    guard = PauseGuard(0.0)
    assert not any(guard.check(number * 0.1) for number in range(100))


def test_paused_node_is_stale_until_a_contact_begun_after_it_resumed() -> None:
    guard = PauseGuard(0.0)
    assert guard.check(60.0)
    guard.contacted(begun=0.05)
    assert guard.check(60.1)
    guard.contacted(begun=60.1)
    assert not guard.check(60.2)


def test_node_without_contact_resumes_after_a_timeout() -> None:
    guard = PauseGuard(0.0)
    guard.check(60.0)
    checked_at = [60.0 + number * 0.1 for number in range(1, 40)]
    assert not [guard.check(now) for now in checked_at][-1]
