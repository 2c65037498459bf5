from __future__ import annotations

from hoisthook.identity import TeamName
from hoisthook.teams.held_tokens import HeldTokens
from hoisthook.teams.quota_ledger import UnusedToken
from hoisthook.teams.quota_verdict import Token

TEAM = TeamName("port")
LEASE = 0.25


def test_a_token_is_used_within_its_lease_only() -> None:
    held = HeldTokens(LEASE)
    held.add(TEAM, 2, Token(10.0))
    assert held.take(TEAM, 10.2) == Token(10.0)
    assert held.take(TEAM, 10.3) is None


def test_tokens_go_back_once_with_their_ages() -> None:
    held = HeldTokens(LEASE)
    held.add_unused(TEAM, Token(10.0))
    held.add_unused(TEAM, Token(9.0, rank=1))
    held.add_unused(TEAM, Token(10.0, is_lent=True))
    assert held.take_unused(TEAM, 10.5) == [UnusedToken(0.5, 0), UnusedToken(1.5, 1)]
    assert held.take_unused(TEAM, 10.5) == []


def test_a_busy_node_requests_the_tokens_of_one_lease() -> None:
    held = HeldTokens(LEASE)
    wanted = [held.tokens_to_request(TEAM, 10.0 + n / 40) for n in range(80)]
    assert wanted[0] == 1
    assert wanted[-1] == 10
    assert held.tokens_to_request(TEAM, 20.0) == 1


def test_without_slack_nothing_is_held() -> None:
    held = HeldTokens(0.0)
    held.add(TEAM, 5, Token(1.0))
    assert held.take(TEAM, 1.0) is None
