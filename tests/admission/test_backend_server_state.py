from __future__ import annotations

import random

from hoisthook.admission.backend_server_state import BackendServerState
from hoisthook.admission.backend_server_state import Phase


def new_state(now: float = 0.0) -> BackendServerState:
    state = BackendServerState(random.Random(1))
    state.announced(now, draining=False)
    return state


def active_state(now: float = 10.0) -> BackendServerState:
    state = new_state(now - 5.0)
    state.tick(now - 3.0)
    state.announced(now, draining=False)
    state.tick(now)
    assert state.phase is Phase.ACTIVE
    return state


def test_cold_backend_server_is_ramped_up() -> None:
    state = new_state()
    assert state.phase is Phase.COLD
    limits = [state.limit_of(12, now) for now in (0.0, 0.5, 1.0, 1.9)]
    assert limits == sorted(limits)
    assert limits[0] == 3
    assert limits[-1] < 12


def test_new_node_of_a_warm_backend_server_does_not_ramp_it_up() -> None:
    state = BackendServerState(random.Random(1))
    state.announced(0.0, draining=False, uptime=60.0)
    assert state.phase is Phase.ACTIVE


def test_announcements_that_stop_end_new_work_within_three_seconds() -> None:
    state = active_state(10.0)
    assert state.admits_request(12.9)
    assert not state.admits_request(13.1)
    assert state.phase is Phase.ABSENT


def test_draining_takes_no_work_at_once() -> None:
    state = active_state()
    state.announced(10.1, draining=True)
    assert not state.admits_request(10.1)


def test_cancelled_drain_starts_cold() -> None:
    state = active_state()
    state.announced(10.1, draining=True)
    state.announced(10.2, draining=False)
    assert state.phase is Phase.COLD


def test_server_that_fails_fast_is_ejected_despite_its_speed() -> None:
    state = active_state()
    for _ in range(20):
        state.answered(10.1, failed=True)
    assert state.phase is Phase.EJECTED
    assert not state.admits_request(10.2)


def test_few_failures_are_no_reason_to_eject() -> None:
    state = active_state()
    for number in range(100):
        state.answered(10.1, failed=number % 5 == 0)
    assert state.phase is Phase.ACTIVE


def test_ejected_server_recovers_through_probation() -> None:
    state = active_state()
    for _ in range(20):
        state.answered(10.1, failed=True)
    state.announced(11.5, draining=False)
    admitted = sum(state.admits_request(11.6) for _ in range(1000))
    assert state.phase is Phase.PROBATION
    assert 50 < admitted < 200
    for _ in range(5):
        state.answered(11.7, failed=False)
    assert state.phase is Phase.ACTIVE


def test_each_failed_probation_doubles_the_wait() -> None:
    state = active_state()
    for _ in range(20):
        state.answered(10.0, failed=True)
    state.announced(11.1, draining=False)
    state.tick(11.1)
    state.answered(11.2, failed=True)
    state.announced(12.5, draining=False)
    state.tick(12.5)
    assert state.phase is Phase.EJECTED
    state.tick(13.3)
    assert state.phase is Phase.PROBATION
