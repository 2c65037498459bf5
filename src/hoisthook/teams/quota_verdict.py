"""Outcome of the quota check of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.result_code import ResultCode


@dataclass(frozen=True, slots=True)
class Token:
    """A quota token; it admits one request.

    Attributes
    ----------
    granted_at : float
        Earliest time at which it was granted, in seconds on the monotonic clock.
    rank : int
        Rank of the request for which it was requested.
    is_lent : bool
        Whether another data centre has lent it; such a token cannot be returned.
    """

    granted_at: float
    rank: int = 0
    is_lent: bool = False


@dataclass(frozen=True, slots=True)
class OverQuota:
    """Rejection of a request by the quota check.

    Attributes
    ----------
    code : ResultCode
        ``TEAM_OVER_QUOTA``, or ``TEAM_QUOTA_UNKNOWN`` if no node can decide.
    retry_after : float
        Seconds after which to retry.
    """

    code: ResultCode
    retry_after: float
