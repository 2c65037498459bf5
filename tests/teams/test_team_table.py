from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import TeamName
from hoisthook.teams.team import ROUTE_RANKS
from hoisthook.teams.team import Team
from hoisthook.teams.team import rank_of
from hoisthook.teams.team_table import KeyFault
from hoisthook.teams.team_table import TeamTable

PORT = Team(TeamName("port"), (b"old", b"new"))
FERRY = Team(TeamName("ferry"), (b"f",))


def test_each_key_of_a_team_names_it() -> None:
    table = TeamTable([PORT, FERRY])
    assert table.holder(b"old") is PORT
    assert table.holder(b"new") is PORT
    assert table.holder(b"f") is FERRY


def test_anything_else_names_nobody() -> None:
    table = TeamTable([PORT, FERRY])
    assert all(table.holder(key) is None for key in (None, b"", b"ol", b"old ", b"OLD", b"port"))


def test_an_empty_key_names_nobody_and_the_others_hold() -> None:
    table = TeamTable([Team(TeamName("port"), (b"", b"k"))])
    assert table.holder(b"") is None
    assert table.holder(b"k") is not None
    assert [unusable.fault for unusable in table.unusable] == [KeyFault.EMPTY]


def test_a_key_of_two_teams_names_neither_and_the_others_hold() -> None:
    table = TeamTable([PORT, Team(TeamName("thief"), (b"new", b"own"))])
    assert table.holder(b"new") is None
    assert table.holder(b"old") is PORT
    assert table.holder(b"own") is not None
    assert {unusable.team.name for unusable in table.unusable} == {"port", "thief"}
    assert all("new" not in unusable.digest for unusable in table.unusable)


def test_the_same_key_twice_in_one_team_is_one_key() -> None:
    table = TeamTable([Team(TeamName("port"), (b"k", b"k"))])
    assert table.holder(b"k") is not None
    assert table.unusable == ()


def test_only_a_table_with_teams_is_true() -> None:
    assert not TeamTable()
    assert TeamTable([Team(TeamName("without-keys"), ())])


@given(st.integers(0, 5), st.integers(0, 5), st.integers(0, 40), st.integers(0, 40))
def test_teams_are_ranked_before_routes(
    rank: int, other_rank: int, route: int, other_route: int
) -> None:
    first = rank_of(Team(TeamName("a"), (), rank), route)
    second = rank_of(Team(TeamName("b"), (), other_rank), other_route)
    if rank != other_rank:
        assert (first < second) is (rank < other_rank)
    elif min(route, other_route) < ROUTE_RANKS - 1:
        assert (first < second) is (route < other_route)


def test_request_without_a_team_is_ranked_by_its_route() -> None:
    without_team = rank_of(None, 1)
    assert (
        rank_of(Team(TeamName("a"), (), 0), 9)
        < without_team
        < rank_of(Team(TeamName("b"), (), 2), 0)
    )
