"""Tokens that a node holds for a moment, and those that it gives back."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from hoisthook.teams.quota_ledger import UnusedToken

if TYPE_CHECKING:
    from hoisthook.identity import TeamName
    from hoisthook.teams.quota_verdict import Token

# Over which a node's own requests of a team are counted.
COUNTED_SECONDS = 1.0
# Requests for which tokens are asked together at most.
MAX_TOGETHER = 16


class HeldTokens:
    """Tokens by team, each of use until its lease is over.

    A busy node asks once for what it is likely to need within a lease; what is older is lost. The
    token of a request that was not run in the end goes back with its age: where backend servers
    are full, callers come back, and what was refused is no part of a quota.

    Parameters
    ----------
    lease : float
        Seconds for which a token may be held.
    """

    def __init__(self, lease: float) -> None:
        self._lease = lease
        self._held_by_team: dict[TeamName, deque[Token]] = {}
        self._unused_by_team: dict[TeamName, list[Token]] = {}
        self._asked_by_team: dict[TeamName, deque[float]] = {}

    def take(self, team: TeamName, now: float) -> Token | None:
        """Return a token to use, or None if there is none."""
        held = self._held_by_team.get(team)
        while held:
            token = held.popleft()
            if self._holds(token, now):
                return token
        return None

    def add(self, team: TeamName, count: int, token: Token) -> None:
        """Hold tokens that were given out together."""
        if count > 0:
            self._held_by_team.setdefault(team, deque()).extend([token] * count)

    def unused(self, team: TeamName, token: Token) -> None:
        """Note a token to give back."""
        if not token.is_lent:
            self._unused_by_team.setdefault(team, []).append(token)

    def take_unused(self, team: TeamName, now: float) -> list[UnusedToken]:
        """Return the tokens to give back now, which are no longer held here."""
        tokens = self._unused_by_team.pop(team, [])
        return [UnusedToken(now - token.given_at, token.rank) for token in tokens]

    def wanted(self, team: TeamName, now: float) -> int:
        """Count a request; return how many tokens to ask for."""
        asked = self._asked_by_team.setdefault(team, deque())
        asked.append(now)
        while asked[0] <= now - COUNTED_SECONDS:
            asked.popleft()
        expected = int(len(asked) * self._lease / COUNTED_SECONDS)
        return max(1, min(MAX_TOGETHER, expected))

    def _holds(self, token: Token, now: float) -> bool:
        return now - token.given_at < self._lease
