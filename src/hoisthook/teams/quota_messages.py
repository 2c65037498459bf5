"""Messages between nodes about a team's quota."""

from __future__ import annotations

from typing import Annotated

import msgspec

from hoisthook.identity import NodeId
from hoisthook.identity import TeamName
from hoisthook.teams.quota_ledger import HandedAccount
from hoisthook.teams.quota_ledger import UnusedToken
from hoisthook.teams.team import Quota

# More than any window holds; messages with more tokens, fewer than 0 or NaN are invalid.
MAX_TOKENS = 1e9
Tokens = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TOKENS)]


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for tokens from one node to another.

    Attributes
    ----------
    team : TeamName
        The team whose quota is meant.
    quota : Quota
        The quota as the requester knows it.
    wanted : float
        Requested tokens; 0 to return unused ones or to probe the node.
    unused : list of UnusedToken
        Tokens that the requester returns.
    is_lending : bool
        Whether the requester owns the quota in its data centre and asks for a loan.
    rank : int
        Rank of the request within its team; 0 is the most urgent.
    is_standing_in : bool
        Whether the requester grants the quota in place of the receiver, which is to take it over.
    taken_over_by : NodeId
        The requester, which takes the quota over from the receiver; else empty.
    """

    team: TeamName
    quota: Quota
    wanted: Tokens
    unused: list[UnusedToken] = []
    is_lending: bool = False
    rank: int = 0
    is_standing_in: bool = False
    taken_over_by: NodeId = NodeId("")


class QuotaReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a `QuotaRequest`.

    Attributes
    ----------
    tokens : float
        Granted tokens; whole ones unless they are a loan.
    retry_after : float
        Seconds after which to retry if there are none.
    is_authoritative : bool
        Whether the node can decide on the quota; a node that may be partitioned cannot.
    is_lent : bool
        Whether another data centre has lent some of them, so that they cannot be returned.
    account : HandedAccount or None
        The account that a node hands over; None if it has none.
    """

    tokens: Tokens
    retry_after: float = 0.0
    is_authoritative: bool = True
    is_lent: bool = False
    account: HandedAccount | None = None
