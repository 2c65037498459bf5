"""Accounts for a data centre's part of each team's quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hoisthook.teams.ranked_window import MAX_RESERVED_SHARE
from hoisthook.teams.ranked_window import RankedWindow
from hoisthook.token_bucket import ROUNDING
from hoisthook.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.identity import TeamName
    from hoisthook.teams.quota_bounds import QuotaBounds
    from hoisthook.teams.team import Quota

# Largest share of the available tokens that is lent at once: either data centre may run short next.
MAX_LENT_SHARE = 0.5
# Upper limit of `retry_after`: the quota may be raised, and other data centres may lend tokens.
MAX_RETRY_SECONDS = 2.0
MIN_RETRY_SECONDS = 0.02
# Of the accrued tokens, the recent demand of more urgent requests for this time is reserved.
RESERVED_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Share:
    """A data centre's part of a team's quota.

    Attributes
    ----------
    quota : Quota
        The quota of all data centres together.
    part : float
        From 0 to 1; the parts of all data centres sum to 1.
    """

    quota: Quota
    part: float


class UnusedToken(msgspec.Struct, frozen=True, array_like=True):
    """A token of a request that was not executed.

    Attributes
    ----------
    age : float
        Upper limit of the seconds since it was granted.
    rank : int
        Rank of the request.
    """

    age: float
    rank: int


class HandedAccount(msgspec.Struct, frozen=True, array_like=True):
    """The account of a quota as its owner hands it over to another node.

    Attributes
    ----------
    level : float
        Tokens that have accrued.
    age : float
        Seconds since the account was opened.
    grants : list of tuple of float, float and int
        Age in seconds, number and rank of the tokens granted within the window.
    """

    level: float
    age: float
    grants: list[tuple[float, float, int]]


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens granted for requests.

    Attributes
    ----------
    count : int
        Number of tokens.
    is_lent : bool
        Whether any of them is counted in another data centre, so that none can be returned here.
    """

    count: int
    is_lent: bool = False


@dataclass(slots=True)
class _Account:
    """Tokens that a data centre may grant to a team, has granted, and has borrowed."""

    bucket: TokenBucket
    granted: RankedWindow
    opened_at: float
    # Tokens lent by other data centres; they expire after one lease.
    borrowed: float = 0.0
    borrowed_at: float = 0.0


class QuotaLedger:
    """One account per team, kept by the node that owns the quota in its data centre.

    Load pattern: a team sends several times its usual rate to all nodes at once. Each node sees a
    few requests per second and does not know what the others admit. A token is granted for each
    request before it is admitted, so the bound holds for the sum over all nodes at any time.

    Tokens accrue at the rate that fills a window exactly and are saved up to the quota's burst; a
    sliding window limits the total as well. A team over its quota thus gets each window full, and
    an idle team its burst at once. What was granted before this node became the owner is unknown
    to it, and is bounded by the accrual alone.

    Parameters
    ----------
    bounds : QuotaBounds
        The bound on the admitted requests.
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, bounds: QuotaBounds, now: float) -> None:
        self._bounds = bounds
        self._account_by_team: dict[TeamName, _Account] = {}
        # Time since which no other node grants tokens of the same part.
        self._since = now
        # Time up to which future tokens are promised to rejected requests by their retry times.
        self._promised_until: dict[TeamName, float] = {}

    def __len__(self) -> int:
        return len(self._account_by_team)

    def grant(
        self, team: TeamName, share: Share, wanted: float, now: float, *, rank: int = 0
    ) -> Grant:
        """Grant whole tokens for requests of a rank, except those reserved for more urgent ones."""
        account = self._account(team, share, now)
        available = self._available(account, share, rank, now)
        borrowed = min(wanted, account.borrowed)
        own = min(wanted - borrowed, max(0.0, available))
        count = float(int(borrowed + own + ROUNDING))
        borrowed = min(borrowed, count)
        account.borrowed -= borrowed
        account.bucket.take(count - borrowed, now)
        account.granted.record_grant(count - borrowed, rank, now)
        return Grant(int(count), is_lent=borrowed > 0)

    def record_request(self, team: TeamName, share: Share, now: float, *, rank: int) -> None:
        """Record a request of a rank, whether or not it gets a token."""
        self._account(team, share, now).granted.record_request(rank, now)

    def put_back(
        self, team: TeamName, share: Share, unused: Iterable[UnusedToken], now: float
    ) -> None:
        """Return unused tokens that were granted here to the account.

        A token that a previous owner granted is lost: it may not be part of what that owner is
        assumed to have granted.
        """
        account = self._account(team, share, now)
        for token in unused:
            granted_at = now - token.age
            if granted_at >= account.opened_at:
                account.bucket.put_back(1.0, now)
                account.granted.revoke(token.rank, granted_at)

    def lend(
        self, team: TeamName, share: Share, wanted: float, now: float, *, rank: int = 0
    ) -> float:
        """Lend tokens, also fractions of one, to another data centre; return how many."""
        account = self._account(team, share, now)
        lent = min(wanted, MAX_LENT_SHARE * max(0.0, self._available(account, share, rank, now)))
        account.bucket.take(lent, now)
        account.granted.record_grant(lent, rank, now)
        return lent

    def add_borrowed(self, team: TeamName, share: Share, tokens: float, now: float) -> None:
        """Add tokens that another data centre has lent; they are counted there."""
        account = self._account(team, share, now)
        account.borrowed += tokens
        account.borrowed_at = now

    def retry_after(self, team: TeamName, share: Share, now: float) -> float:
        """Return the seconds after which a request that got no token is to be retried.

        Successive calls return times spaced by the accrual of one token, so that requests that
        are rejected together are not retried together.
        """
        account = self._account(team, share, now)
        wait = account.bucket.seconds_to(1.0, now)
        if account.granted.available(0, self._capacity(share), now) < 1.0:
            wait = max(wait, account.granted.seconds_until_available(now))
        rate = account.bucket.rate or self._bounds.rate(share.quota)
        earliest = now + min(wait, MAX_RETRY_SECONDS)
        retry_at = max(earliest, self._promised_until.get(team, earliest))
        if retry_at - now >= MAX_RETRY_SECONDS:
            retry_at = earliest
        self._promised_until[team] = retry_at + 1.0 / rate
        return max(MIN_RETRY_SECONDS, retry_at - now)

    def reset(self, now: float) -> None:
        """Reset all accounts as after a start: other nodes may have granted tokens meanwhile."""
        self._since = now
        self._account_by_team.clear()

    def restart(self, team: TeamName, share: Share, now: float) -> None:
        """Open a new account for a quota that another node owned until now."""
        self._account_by_team[team] = self._new_account(share, now)

    def hand_over(self, team: TeamName, now: float) -> HandedAccount | None:
        """Close an account and return it; None if there is none."""
        account = self._account_by_team.pop(team, None)
        if account is None:
            return None
        level = account.bucket.level(now)
        return HandedAccount(level, now - account.opened_at, account.granted.grants(now))

    def take_over(self, team: TeamName, share: Share, handed: HandedAccount, now: float) -> None:
        """Continue an account that another node has handed over.

        Tokens accrue in both accounts if this node has one too, so those that the other node has
        granted are taken from it.
        """
        account = self._account_by_team.get(team)
        if account is None:
            account = self._new_account(share, now - handed.age, handed.level, now)
            self._account_by_team[team] = account
        else:
            account.bucket.take(sum(count for _, count, _ in handed.grants), now)
        for age, count, rank in handed.grants:
            account.granted.record_grant(count, rank, now - age)

    def _account(self, team: TeamName, share: Share, now: float) -> _Account:
        account = self._account_by_team.get(team)
        if account is None:
            account = self._new_account(share, self._since)
            self._account_by_team[team] = account
        else:
            rate = share.part * self._bounds.rate(share.quota)
            depth = share.part * self._bounds.depth(share.quota)
            account.bucket.resize(rate, depth, now)
        if now - account.borrowed_at > self._bounds.lease_seconds:
            account.borrowed = 0.0
        return account

    def _new_account(
        self, share: Share, opened_at: float, level: float | None = None, now: float | None = None
    ) -> _Account:
        """Return an account with a level as of ``now``, by default that of a new owner."""
        rate = share.part * self._bounds.rate(share.quota)
        depth = share.part * self._bounds.depth(share.quota)
        if level is None:
            level = share.part * self._bounds.start(share.quota)
        bucket = TokenBucket(rate, depth, level, opened_at if now is None else now)
        granted = RankedWindow(self._bounds.window + self._bounds.lease_seconds)
        return _Account(bucket, granted, opened_at)

    def _available(self, account: _Account, share: Share, rank: int, now: float) -> float:
        left = account.granted.available(rank, self._capacity(share), now)
        saved = account.bucket.level(now)
        reserved = RESERVED_SECONDS * account.granted.urgent_per_second(rank, now)
        return min(left, saved - min(reserved, MAX_RESERVED_SHARE * max(0.0, saved)))

    def _capacity(self, share: Share) -> float:
        return share.part * self._bounds.capacity(share.quota)
