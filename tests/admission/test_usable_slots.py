"""All slots of a server are used unless the last ones reduce its throughput."""

from __future__ import annotations

import random

import pytest

from hoisthook.admission.usable_slots import RETRY_SECONDS
from hoisthook.admission.usable_slots import UsableSlots

SHARE = 0.8
SLOTS = (3, 4, 5)


def simulate(slots: int, slow_factor: float, seed: int, *, requests: int = 400) -> list[int]:
    """Simulate requests with varying service times and concurrency; return the limits used."""
    randomness = random.Random(seed)
    usable = UsableSlots(SHARE)
    reduced_limit = max(1, int(slots * SHARE))
    limits = []
    for number in range(requests):
        limit = usable.limit(slots, number / 50)
        limits.append(limit)
        running_at_start = randomness.randint(1, limit)
        running_at_end = max(1, min(limit, running_at_start + randomness.randint(-1, 1)))
        ratio = randomness.lognormvariate(0.0, 0.3) * (
            slow_factor if running_at_start > reduced_limit else 1.0
        )
        # A slow period that no report showed in time.
        if randomness.random() < 0.05:
            ratio *= 7.0
        usable.finished(slots, (running_at_start, running_at_end), ratio)
    return limits


@pytest.mark.parametrize("slots", SLOTS)
def test_server_that_sustains_all_of_its_slots_gets_all(slots: int) -> None:
    for seed in range(10):
        limits = simulate(slots, 1.0, seed)
        assert limits.count(slots) >= 0.9 * len(limits)


@pytest.mark.parametrize("slots", SLOTS)
def test_server_that_slows_down_when_nearly_full_gets_the_reduced_limit(slots: int) -> None:
    reduced_limit = max(1, int(slots * SHARE))
    for seed in range(10):
        limits = simulate(slots, 1.9, seed)
        assert limits[-1] == reduced_limit
        assert limits.index(reduced_limit) <= 250


def test_requests_at_low_concurrency_do_not_reduce_the_limit() -> None:
    usable = UsableSlots(SHARE)
    for _ in range(200):
        usable.finished(5, (2, 2), 3.0)
    assert usable.limit(5, 0.0) == 5


def test_all_slots_are_tried_again_after_a_while() -> None:
    usable = UsableSlots(SHARE)
    for _ in range(50):
        usable.finished(5, (2, 2), 1.0)
        usable.finished(5, (5, 5), 2.0)
    assert usable.limit(5, 10.0) == 4
    assert usable.limit(5, 9.0 + RETRY_SECONDS) == 4
    assert usable.limit(5, 11.0 + RETRY_SECONDS) == 5


@pytest.mark.parametrize("slots", [6, 9, 12, 18])
def test_server_with_many_slots_keeps_the_reduced_limit(slots: int) -> None:
    assert set(simulate(slots, 1.0, 1)) == {int(slots * SHARE)}
