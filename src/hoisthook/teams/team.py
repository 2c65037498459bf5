"""Teams, their quotas and the ranks of their requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from hoisthook.identity import TeamName

# Distinct ranks of routes within one rank of teams.
ROUTE_RANKS = 16


class Quota(msgspec.Struct, frozen=True, array_like=True):
    """How many requests a team may send to all nodes together.

    Attributes
    ----------
    per_second : float
        Sustained requests per second.
    burst : float
        Additional requests that may arrive at once.
    """

    per_second: float
    burst: float


@dataclass(frozen=True, slots=True)
class Team:
    """A team as configured by operators.

    Attributes
    ----------
    name : TeamName
        Unique in its configuration.
    keys : tuple of bytes
        Secrets that identify its requests; several during a key rotation.
    priority : int or None
        Rank that takes precedence over the ranks of routes; 0 is the most urgent.
    quota : Quota or None
        None if its requests are not limited.
    """

    name: TeamName
    keys: tuple[bytes, ...]
    priority: int | None = None
    quota: Quota | None = None


def rank_of(team: Team | None, route_priority: int) -> int:
    """Return the rank of a request by its team and its route; 0 is the most urgent.

    Requests are ranked by team first and by route within one rank of teams. A request without a
    team, such as a call of a running request, is ranked like one of a team with its route's rank.
    """
    team_rank = route_priority if team is None or team.priority is None else team.priority
    return ROUTE_RANKS * max(0, team_rank) + min(max(0, route_priority), ROUTE_RANKS - 1)
