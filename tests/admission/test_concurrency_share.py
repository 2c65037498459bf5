from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.admission.concurrency_share import ConcurrencyShare


@given(st.sets(st.text("abc", min_size=1), min_size=1, max_size=8), st.integers(0, 100))
def test_parts_add_up_to_the_limit_when_views_agree(nodes: set[str], limit: int) -> None:
    parts = []
    for node in nodes:
        share = ConcurrencyShare(node)
        share.observe(nodes, 0.0)
        parts.append(share.of(limit))
    assert sum(parts) == limit


def test_half_of_a_partitioned_network_does_not_take_the_full_limit_at_once() -> None:
    share = ConcurrencyShare("a")
    share.observe({"a", "b"}, 0.0)
    share.observe({"a"}, 20.0)
    assert share.of(10) == 5
    share.observe({"a"}, 31.0)
    assert share.of(10) == 10
