"""Paced large answers do not delay short ones on a slow link."""

from __future__ import annotations

import random

from hoisthook.routing.link_pacer import MAX_UNPACED_BYTES
from hoisthook.routing.link_pacer import PIECE_BYTES
from hoisthook.routing.link_pacer import LinkPacer

MBPS = 12.0
LINK_BYTES_PER_SECOND = MBPS * 1e6 / 8


def longest_wait(bodies: int, seed: int, *, paced: bool) -> float:
    """Return the longest wait in seconds of a short answer behind simultaneous large ones."""
    randomness = random.Random(seed)
    sizes = [min(540_000, int(randomness.lognormvariate(11.2, 0.6))) for _ in range(bodies)]
    pieces: list[tuple[float, int]] = []
    link_pacer = LinkPacer(MBPS)
    if paced:
        bytes_left = dict(enumerate(sizes))
        send_at = dict.fromkeys(bytes_left, 0.0)
        while bytes_left:
            # The body whose turn is earliest sends its next piece.
            body = min(bytes_left, key=lambda number: send_at[number])
            size = min(PIECE_BYTES, bytes_left[body])
            send_at[body] += link_pacer.wait(size, send_at[body])
            pieces.append((send_at[body], size))
            bytes_left[body] -= size
            if bytes_left[body] <= 0:
                del bytes_left[body]
    else:
        pieces = [(0.0, size) for size in sizes]
    return longest_queue(pieces)


def longest_queue(pieces: list[tuple[float, int]]) -> float:
    """Return the longest time in seconds that the link needs for its backlog."""
    free_at = 0.0
    longest = 0.0
    for at, size in sorted(pieces):
        free_at = max(at, free_at) + size / LINK_BYTES_PER_SECOND
        longest = max(longest, free_at - at)
    return longest


def test_short_answer_does_not_wait_behind_forty_eight_bodies() -> None:
    for seed in range(10):
        assert longest_wait(48, seed, paced=False) > 1.0
        assert longest_wait(48, seed, paced=True) < 0.1


def test_short_answers_and_unknown_links_are_not_paced() -> None:
    assert not LinkPacer(MBPS).needs_pacing(MAX_UNPACED_BYTES)
    assert LinkPacer(MBPS).needs_pacing(MAX_UNPACED_BYTES + 1)
    assert not LinkPacer(0.0).needs_pacing(10**9)
    assert LinkPacer(0.0).wait(10**9, 5.0) == 0.0


def test_a_wide_link_adds_no_wait() -> None:
    link_pacer = LinkPacer(10_000.0)
    assert [link_pacer.wait(PIECE_BYTES, 1.0) for _ in range(50)] == [0.0] * 50


def test_unpaced_answers_delay_later_pieces() -> None:
    link_pacer = LinkPacer(MBPS)
    link_pacer.sent(MAX_UNPACED_BYTES, 1.0)
    assert link_pacer.wait(PIECE_BYTES, 1.0) > 0.01
