from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import NodeId
from hoisthook.membership.change_log import COMPACT_BEYOND_ENTRIES
from hoisthook.membership.change_log import ChangeLog

STEPS = st.lists(st.tuples(st.sampled_from("abcdef"), st.booleans()), max_size=200)


@given(STEPS, st.integers(min_value=0, max_value=200))
def test_nodes_changed_since_a_revision_are_returned_once_without_removed_ones(
    steps: list[tuple[str, bool]], revision: int
) -> None:
    change_log = ChangeLog()
    revision_by_node: dict[str, int] = {}
    for name, added in steps:
        if added:
            change_log.note(NodeId(name))
            revision_by_node[name] = change_log.revision
        else:
            change_log.forget(NodeId(name))
            revision_by_node.pop(name, None)
    expected = [name for name, at in revision_by_node.items() if at > revision]
    assert sorted(change_log.since(revision)) == sorted(expected)


def test_entries_stay_few_however_often_a_node_changes() -> None:
    change_log = ChangeLog()
    for _ in range(10_000):
        change_log.note(NodeId("a"))
    assert len(change_log._entries) <= COMPACT_BEYOND_ENTRIES + 3
    assert change_log.since(0) == ["a"]
