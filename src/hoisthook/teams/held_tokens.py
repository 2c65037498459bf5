"""Tokens that a node holds for a moment, and those that it has to give back."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import TeamName

# Over which a node's own requests of a team are counted.
COUNTED_SECONDS = 1.0
# Requests for which tokens are asked together at most.
MAX_TOGETHER = 16


class HeldTokens:
    """Tokens by team, each of use until its lease is over.

    A busy node asks once for what it is likely to need within a lease. What it did not use goes
    back with its next question, and so does the token of a request that was not run in the end:
    where backend servers are full, callers come back, and what was refused is no part of a quota.

    Parameters
    ----------
    lease : float
        Seconds for which a token may be held.
    """

    def __init__(self, lease: float) -> None:
        self._lease = lease
        self._until_by_team: dict[TeamName, deque[float]] = {}
        self._asked_by_team: dict[TeamName, deque[float]] = {}
        self._unused_by_team: dict[TeamName, int] = {}

    def take(self, team: TeamName, now: float) -> bool:
        """Use a token; return whether there was one."""
        held = self._until_by_team.get(team)
        while held:
            if held.popleft() > now:
                return True
            self.unused(team)
        return False

    def add(self, team: TeamName, count: int, given_at: float) -> None:
        """Hold tokens that were given out at some moment at the earliest."""
        if count > 0:
            until = given_at + self._lease
            self._until_by_team.setdefault(team, deque()).extend([until] * count)

    def unused(self, team: TeamName, count: int = 1) -> None:
        """Note tokens to give back."""
        self._unused_by_team[team] = self._unused_by_team.get(team, 0) + count

    def take_unused(self, team: TeamName) -> int:
        """Return how many tokens are to be given back, which are then no longer held here."""
        return self._unused_by_team.pop(team, 0)

    def wanted(self, team: TeamName, now: float) -> int:
        """Count a request; return how many tokens to ask for."""
        asked = self._asked_by_team.setdefault(team, deque())
        asked.append(now)
        while asked[0] <= now - COUNTED_SECONDS:
            asked.popleft()
        expected = int(len(asked) * self._lease / COUNTED_SECONDS)
        return max(1, min(MAX_TOGETHER, expected))
