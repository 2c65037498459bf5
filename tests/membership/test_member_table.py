from __future__ import annotations

import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.membership.member import Member
from hoisthook.membership.member import MemberStatus
from hoisthook.membership.member_table import SUSPECT_SECONDS
from hoisthook.membership.member_table import MemberTable


def member(node: str, version: int = 1, status: MemberStatus = MemberStatus.ALIVE) -> Member:
    return Member(
        node,
        f"i-{node}",
        version,
        "127.0.0.1:1",
        "dc",
        status,
        backend_server=node,
        service="svc",
        slots=2,
        takes_work=True,
    )


def make_table(node: str = "me") -> MemberTable:
    return MemberTable(member(node), random.Random(1))


MEMBERS = st.lists(
    st.builds(member, st.sampled_from("abc"), st.integers(1, 4), st.sampled_from(MemberStatus)),
    max_size=30,
)


@given(MEMBERS, st.randoms(use_true_random=False))
def test_order_and_repetition_of_updates_do_not_matter(updates: list[Member], shuffler) -> None:
    first, second = make_table(), make_table()
    for update in updates:
        first.merge(update, 0.0)
    shuffled = [*updates, *updates]
    shuffler.shuffle(shuffled)
    for update in shuffled:
        second.merge(update, 0.0)
    assert {m.node: m for m in first} == {m.node: m for m in second}
    assert first.digest == second.digest


@given(MEMBERS)
def test_serves_exactly_while_not_departed_and_taking_work(updates: list[Member]) -> None:
    table = make_table()
    for update in updates:
        table.merge(update, 0.0)
    departed = (MemberStatus.DEAD, MemberStatus.LEFT)
    expected = {m.node for m in table if m.status not in departed and m.takes_work}
    assert set(table.serving("svc")) == expected


def test_older_record_does_not_undo_a_drain() -> None:
    table = make_table()
    drained = msgspec.structs.replace(member("a", 2), takes_work=False)
    table.merge(drained, 0.0)
    assert not table.merge(member("a", 1), 0.0)
    assert "a" not in table.serving("svc")


def test_unresponsive_node_is_suspect_then_dead() -> None:
    table = make_table()
    table.merge(member("a"), 0.0)
    table.suspect(table.get("a"), 1.0)
    assert "a" in table.serving("svc")
    assert table.expire(1.0 + SUSPECT_SECONDS / 2) == []
    (dead,) = table.expire(1.1 + SUSPECT_SECONDS)
    assert dead.status is MemberStatus.DEAD
    assert "a" not in table.serving("svc")


def test_node_refutes_suspicion_of_itself() -> None:
    table = make_table()
    before = table.me.version
    table.merge(member("me", before, MemberStatus.SUSPECT), 0.0)
    assert table.me.status is MemberStatus.ALIVE
    assert table.me.version == before + 1


def test_node_supersedes_a_higher_version_of_its_former_incarnation() -> None:
    table = make_table()
    table.merge(msgspec.structs.replace(member("me", 50), incarnation="old"), 0.0)
    assert table.me.version == 51
    assert table.me.incarnation == "i-me"


def test_leaving_node_does_not_refute() -> None:
    table = make_table()
    table.update_me(0.0, status=MemberStatus.LEFT)
    table.merge(member("me", table.me.version, MemberStatus.DEAD), 0.0)
    assert table.me.status is MemberStatus.LEFT


def test_updates_of_one_exchange_are_bounded_and_end() -> None:
    table = make_table()
    for number in range(100):
        table.merge(member(f"n{number}"), 0.0)
    rounds = 0
    while updates := table.take_updates():
        assert len(updates) <= 12
        rounds += 1
    assert 0 < rounds < 500


def test_long_dead_are_forgotten() -> None:
    table = make_table()
    table.merge(member("a", 1, MemberStatus.DEAD), 0.0)
    table.expire(4000.0)
    assert table.get("a") is None
    assert len(table) == 1


def test_suspicion_of_a_former_incarnation_does_not_apply_to_the_new_one() -> None:
    table = make_table()
    table.merge(member("a", 1), 0.0)
    former = table.get("a")
    table.merge(msgspec.structs.replace(member("a", 2), incarnation="new"), 0.0)
    table.suspect(former, 1.0)
    assert table.get("a").status is MemberStatus.ALIVE
