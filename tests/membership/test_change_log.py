from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import NodeId
from hoisthook.membership.change_log import COMPACT_BEYOND_ENTRIES
from hoisthook.membership.change_log import ChangeLog

STEPS = st.lists(st.tuples(st.sampled_from("abcdef"), st.booleans()), max_size=200)


@given(STEPS, st.integers(min_value=0, max_value=200))
def test_what_came_since_a_revision_is_told_once_and_what_is_gone_is_not(
    steps: list[tuple[str, bool]], revision: int
) -> None:
    news = ChangeLog()
    revision_by_node: dict[str, int] = {}
    for name, added in steps:
        if added:
            news.note(NodeId(name))
            revision_by_node[name] = news.revision
        else:
            news.forget(NodeId(name))
            revision_by_node.pop(name, None)
    expected = [name for name, at in revision_by_node.items() if at > revision]
    assert sorted(news.since(revision)) == sorted(expected)


def test_entries_stay_few_however_often_a_node_changes() -> None:
    news = ChangeLog()
    for _ in range(10_000):
        news.note(NodeId("a"))
    assert len(news._entries) <= COMPACT_BEYOND_ENTRIES + 3
    assert news.since(0) == ["a"]
