"""What nodes ask each other about a team's quota."""

from __future__ import annotations

from typing import Annotated

import msgspec

from hoisthook.identity import TeamName
from hoisthook.teams.quota_ledger import UnusedToken
from hoisthook.teams.team import Quota

# More than any window holds; what is no number, or less than none, is no message of a node.
MAX_TOKENS = 1e9
Tokens = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TOKENS)]


class QuotaQuestion(msgspec.Struct, frozen=True, array_like=True):
    """What one node asks of another.

    Attributes
    ----------
    team : TeamName
        Whose quota.
    quota : Quota
        As the asker knows it.
    wanted : float
        Tokens; none to find out whether a node answers.
    unused : list of UnusedToken
        What the asker gives back.
    is_lending : bool
        Whether the asker gives out the quota itself and is short.
    rank : int
        Of the request among those of its team; 0 is the most urgent.
    """

    team: TeamName
    quota: Quota
    wanted: Tokens
    unused: list[UnusedToken] = []
    is_lending: bool = False
    rank: int = 0


class QuotaAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer.

    Attributes
    ----------
    tokens : float
        Given out; in whole ones unless they are lent.
    retry_after : float
        Seconds after which to come back where there are none.
    knows : bool
        Whether the node is in a place to tell.
    is_lent : bool
        Whether another data centre has lent some of them, so that they are not taken back.
    """

    tokens: Tokens
    retry_after: float = 0.0
    knows: bool = True
    is_lent: bool = False
