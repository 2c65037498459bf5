"""A team: who it is, how urgent, and how much it may ask."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from hoisthook.identity import TeamName

# Ranks of routes that are told apart within one rank of teams.
ROUTE_RANKS = 16


class Quota(msgspec.Struct, frozen=True, array_like=True):
    """How much a team may ask of all nodes together.

    Attributes
    ----------
    per_second : float
        Requests a second.
    burst : float
        Requests besides, that may come at once.
    """

    per_second: float
    burst: float


@dataclass(frozen=True, slots=True)
class Team:
    """A team as operators describe it.

    Attributes
    ----------
    name : TeamName
        Unique in its configuration.
    keys : tuple of bytes
        Secrets by which its requests are known; several while one takes another's place.
    priority : int or None
        Rank that goes before that of the routes it asks for; 0 is the most urgent.
    quota : Quota or None
        None where it may ask any number.
    """

    name: TeamName
    keys: tuple[bytes, ...]
    priority: int | None = None
    quota: Quota | None = None


def rank_of(team: Team | None, route_priority: int) -> int:
    """Return the rank of a request where teams are told apart; 0 is the most urgent.

    Teams are ranked first, and among teams of one rank the routes they ask for. What no team asks
    for, such as the calls of a running request, stands where a team of its route's rank would.
    """
    first = route_priority if team is None or team.priority is None else team.priority
    return ROUTE_RANKS * max(0, first) + min(max(0, route_priority), ROUTE_RANKS - 1)
