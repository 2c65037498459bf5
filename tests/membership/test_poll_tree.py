"""Poll tree: few nodes poll any one node, and every chain of polls ends at a reader."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.membership.poll_tree import CHILDREN_PER_NODE
from hoisthook.membership.poll_tree import poll_positions
from hoisthook.membership.poll_tree import polling_order
from hoisthook.mesh.peer import Peer


def peer(number: int, link_mbps: float = 0.0) -> Peer:
    return Peer(
        NodeId(f"n-{number}"), "127.0.0.1:1", ServiceName("s"), DataCentre("one"), link_mbps
    )


@pytest.mark.parametrize(("nodes", "depth"), [(4, 1), (23, 2), (100, 2), (830, 3), (5000, 4)])
def test_every_chain_of_polls_ends_at_a_reader_in_few_steps(nodes: int, depth: int) -> None:
    deepest = 0
    for start in range(nodes):
        steps = 0
        position = start
        while polled := poll_positions(position, 2):
            # Follows the longer of the two chains.
            position = max(polled)
            steps += 1
        deepest = max(deepest, steps)
    assert deepest <= depth


@pytest.mark.parametrize("nodes", [23, 100, 830, 5000])
def test_polling_nodes_per_node_are_bounded_for_any_number_of_nodes(nodes: int) -> None:
    polling_count = Counter(
        polled for position in range(nodes) for polled in poll_positions(position, 2)
    )
    # Each node polls two others in turn, so half of its polls go to each.
    assert max(polling_count.values()) <= 2 * CHILDREN_PER_NODE


@given(st.integers(0, 10_000), st.integers(1, 4))
def test_polled_nodes_come_before_the_polling_node(position: int, readers: int) -> None:
    polled = poll_positions(position, readers)
    assert all(0 <= other < position for other in polled)
    assert bool(polled) is (position >= readers)


def test_wide_links_come_first_and_the_order_is_the_same_everywhere() -> None:
    peers = [peer(number, 5.0) for number in range(20)] + [peer(20, 100.0), peer(21, 100.0)]
    order = polling_order(peers)
    assert {p.node for p in order[:2]} == {"n-20", "n-21"}
    assert polling_order(reversed(peers)) == order
