from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.idempotency.replay_window import WINDOW
from hoisthook.idempotency.replay_window import ReplayWindow


@given(st.lists(st.integers(0, 3 * WINDOW), max_size=200))
def test_no_number_is_accepted_twice(numbers: list[int]) -> None:
    window = ReplayWindow()
    accepted = [number for number in numbers if window.accept("s", number)]
    assert len(accepted) == len(set(accepted))


@given(st.permutations(list(range(40))))
def test_reordered_numbers_are_all_accepted(numbers: list[int]) -> None:
    window = ReplayWindow()
    assert all(window.accept("s", number) for number in numbers)


def test_a_number_far_behind_is_refused_although_unseen() -> None:
    window = ReplayWindow()
    window.accept("s", WINDOW + 5)
    assert not window.accept("s", 5)
    assert window.accept("s", 6)


def test_a_huge_number_costs_no_memory() -> None:
    window = ReplayWindow()
    assert window.accept("s", 10**30)
    assert not window.accept("s", 10**30)


def test_senders_are_independent() -> None:
    window = ReplayWindow()
    assert window.accept("s", 1)
    assert window.accept("t", 1)
