from __future__ import annotations

from hoisthook.membership.pause_guard import PauseGuard


def test_regular_ticks_are_no_pause() -> None:
    guard = PauseGuard(0.0)
    assert not any(guard.check(number * 0.1) for number in range(100))


def test_paused_node_is_stale_until_a_contact_begun_after_it_woke() -> None:
    guard = PauseGuard(0.0)
    assert guard.check(60.0)
    guard.contacted(begun=0.05)
    assert guard.check(60.1)
    guard.contacted(begun=60.1)
    assert not guard.check(60.2)


def test_node_that_reaches_nobody_goes_on_alone() -> None:
    guard = PauseGuard(0.0)
    guard.check(60.0)
    moments = [60.0 + number * 0.1 for number in range(1, 40)]
    assert not [guard.check(moment) for moment in moments][-1]
