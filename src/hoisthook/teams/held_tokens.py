"""Quota tokens that a node holds for the length of a lease, and unused ones to return."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from hoisthook.teams.quota_ledger import UnusedToken

if TYPE_CHECKING:
    from hoisthook.identity import TeamName
    from hoisthook.teams.quota_verdict import Token

# Window over which the request rate of a team at this node is counted.
RATE_SECONDS = 1.0
# Tokens requested at once, at most.
MAX_BATCH = 16


class HeldTokens:
    """Tokens by team, each valid until its lease ends.

    A busy node requests the tokens that it is likely to need within a lease in one batch; tokens
    that outlast the lease are lost. The token of a request that was not executed is returned with
    its age: callers retry when backend servers are full, and rejected requests must not use up
    the quota.

    Parameters
    ----------
    lease : float
        Seconds for which a token may be held.
    """

    def __init__(self, lease: float) -> None:
        self._lease = lease
        self._held_by_team: dict[TeamName, deque[Token]] = {}
        self._unused_by_team: dict[TeamName, list[Token]] = {}
        self._requests_by_team: dict[TeamName, deque[float]] = {}

    def take(self, team: TeamName, now: float) -> Token | None:
        """Return a token to use, or None if there is none."""
        held = self._held_by_team.get(team)
        while held:
            token = held.popleft()
            if self._is_valid(token, now):
                return token
        return None

    def add(self, team: TeamName, count: int, token: Token) -> None:
        """Hold a batch of tokens that were granted together."""
        if count > 0:
            self._held_by_team.setdefault(team, deque()).extend([token] * count)

    def add_unused(self, team: TeamName, token: Token) -> None:
        """Record a token to return; borrowed tokens are not returned."""
        if not token.is_lent:
            self._unused_by_team.setdefault(team, []).append(token)

    def take_unused(self, team: TeamName, now: float) -> list[UnusedToken]:
        """Remove and return the tokens to send back now."""
        tokens = self._unused_by_team.pop(team, [])
        return [UnusedToken(now - token.granted_at, token.rank) for token in tokens]

    def tokens_to_request(self, team: TeamName, now: float) -> int:
        """Count a request; return how many tokens to ask the quota owner for."""
        requests = self._requests_by_team.setdefault(team, deque())
        requests.append(now)
        while requests[0] <= now - RATE_SECONDS:
            requests.popleft()
        expected = int(len(requests) * self._lease / RATE_SECONDS)
        return max(1, min(MAX_BATCH, expected))

    def _is_valid(self, token: Token, now: float) -> bool:
        return now - token.granted_at < self._lease
