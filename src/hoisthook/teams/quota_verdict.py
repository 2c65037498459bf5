"""What a request of a team is told about its quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.result_code import ResultCode


@dataclass(frozen=True, slots=True)
class Token:
    """Admits one request.

    Attributes
    ----------
    given_at : float
        When it was given out, at the earliest.
    rank : int
        Of the request that it was asked for.
    is_lent : bool
        Whether another data centre has lent it; such a one is not taken back.
    """

    given_at: float
    rank: int = 0
    is_lent: bool = False


@dataclass(frozen=True, slots=True)
class OverQuota:
    """Why a request is not admitted.

    Attributes
    ----------
    code : ResultCode
        Over its quota, or nobody can tell.
    retry_after : float
        Seconds after which to come back.
    """

    code: ResultCode
    retry_after: float
