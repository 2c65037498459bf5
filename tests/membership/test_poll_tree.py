"""Whom nodes ask: nobody is asked by many, and all ways lead to a reader."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.membership.poll_tree import CHILDREN
from hoisthook.membership.poll_tree import poll_positions
from hoisthook.membership.poll_tree import ranked
from hoisthook.mesh.peer import Peer


def peer(number: int, link_mbps: float = 0.0) -> Peer:
    return Peer(
        NodeId(f"n-{number}"), "127.0.0.1:1", ServiceName("s"), DataCentre("one"), link_mbps
    )


@pytest.mark.parametrize(("nodes", "depth"), [(4, 1), (23, 2), (100, 2), (830, 3), (5000, 4)])
def test_all_ways_lead_to_a_reader_in_few_steps(nodes: int, depth: int) -> None:
    deepest = 0
    for place in range(nodes):
        steps = 0
        asked = place
        while asking := poll_positions(asked, 2):
            # The longer of the two ways.
            asked = max(asking)
            steps += 1
        deepest = max(deepest, steps)
    assert deepest <= depth


@pytest.mark.parametrize("nodes", [23, 100, 830, 5000])
def test_nobody_is_asked_by_many_however_many_there_are(nodes: int) -> None:
    askers = Counter(asked for place in range(nodes) for asked in poll_positions(place, 2))
    # Each asks two in turn, so that half of its questions come here.
    assert max(askers.values()) <= 2 * CHILDREN


@given(st.integers(0, 10_000), st.integers(1, 4))
def test_who_is_asked_stands_before_the_asker(place: int, readers: int) -> None:
    asked = poll_positions(place, readers)
    assert all(0 <= other < place for other in asked)
    assert bool(asked) is (place >= readers)


def test_wide_links_come_first_and_the_order_is_the_same_everywhere() -> None:
    peers = [peer(number, 5.0) for number in range(20)] + [peer(20, 100.0), peer(21, 100.0)]
    order = ranked(peers)
    assert {p.node for p in order[:2]} == {"n-20", "n-21"}
    assert ranked(reversed(peers)) == order
