"""Large answers leave room on a narrow link for short ones."""

from __future__ import annotations

import random

from hoisthook.routing.link_pacer import AT_ONCE_BYTES
from hoisthook.routing.link_pacer import PIECE_BYTES
from hoisthook.routing.link_pacer import LinkPacer

MBPS = 12.0
LINK_BYTES_PER_SECOND = MBPS * 1e6 / 8


def longest_wait(bodies: int, seed: int, *, paced: bool) -> float:
    """Return the longest that a short answer waits behind large ones that came at once."""
    chance = random.Random(seed)
    sizes = [min(540_000, int(chance.lognormvariate(11.2, 0.6))) for _ in range(bodies)]
    sent: list[tuple[float, int]] = []
    link_pacer = LinkPacer(MBPS)
    if paced:
        left = dict(enumerate(sizes))
        moment = dict.fromkeys(left, 0.0)
        while left:
            # Each body hands over its next piece when its turn has come.
            body = min(left, key=lambda number: moment[number])
            size = min(PIECE_BYTES, left[body])
            moment[body] += link_pacer.wait(size, moment[body])
            sent.append((moment[body], size))
            left[body] -= size
            if left[body] <= 0:
                del left[body]
    else:
        sent = [(0.0, size) for size in sizes]
    return longest_queue(sent)


def longest_queue(sent: list[tuple[float, int]]) -> float:
    """Return the longest time for which the link is busy with what was handed to it."""
    free_at = 0.0
    longest = 0.0
    for at, size in sorted(sent):
        free_at = max(at, free_at) + size / LINK_BYTES_PER_SECOND
        longest = max(longest, free_at - at)
    return longest


def test_short_answer_does_not_wait_behind_forty_eight_bodies() -> None:
    for seed in range(10):
        assert longest_wait(48, seed, paced=False) > 1.0
        assert longest_wait(48, seed, paced=True) < 0.1


def test_short_answers_and_unknown_links_are_not_spread() -> None:
    assert not LinkPacer(MBPS).spreads(AT_ONCE_BYTES)
    assert LinkPacer(MBPS).spreads(AT_ONCE_BYTES + 1)
    assert not LinkPacer(0.0).spreads(10**9)
    assert LinkPacer(0.0).wait(10**9, 5.0) == 0.0


def test_a_wide_link_waits_for_nothing() -> None:
    link_pacer = LinkPacer(10_000.0)
    assert [link_pacer.wait(PIECE_BYTES, 1.0) for _ in range(50)] == [0.0] * 50


def test_what_went_out_at_once_delays_the_pieces_behind_it() -> None:
    link_pacer = LinkPacer(MBPS)
    link_pacer.sent(AT_ONCE_BYTES, 1.0)
    assert link_pacer.wait(PIECE_BYTES, 1.0) > 0.01
