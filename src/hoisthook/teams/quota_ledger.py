"""Gives out a data centre's part of each team's quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hoisthook.teams.ranked_window import MAX_KEPT_SHARE
from hoisthook.teams.ranked_window import RankedWindow
from hoisthook.token_bucket import ROUNDING
from hoisthook.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.identity import TeamName
    from hoisthook.teams.quota_bounds import QuotaBounds
    from hoisthook.teams.team import Quota

# What another data centre is lent at most, as a share of what is there: both may be short next.
LENT_SHARE = 0.5
# Nobody is told to come back later than this: a quota may be raised, and others lend.
MAX_RETRY_SECONDS = 2.0
MIN_RETRY_SECONDS = 0.02
# Of the tokens that have accrued, the more urgent find those that they ask for within this time.
KEPT_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Share:
    """A data centre's part of a team's quota.

    Attributes
    ----------
    quota : Quota
        Of all data centres together.
    part : float
        From 0 to 1; the parts of all data centres sum to 1.
    """

    quota: Quota
    part: float


class UnusedToken(msgspec.Struct, frozen=True, array_like=True):
    """A token of a request that has not run.

    Attributes
    ----------
    age : float
        Seconds since it was given out, at most.
    rank : int
        Of the request.
    """

    age: float
    rank: int


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens for requests.

    Attributes
    ----------
    count : int
        How many.
    is_lent : bool
        Whether any of them is counted in another data centre, so that none can be taken back here.
    """

    count: int
    is_lent: bool = False


@dataclass(slots=True)
class _Account:
    """What a data centre may give out for a team, what it gave, and what others lent it."""

    bucket: TokenBucket
    given: RankedWindow
    begun: float
    # Tokens lent by others, each of use once; lost if they are not used soon.
    lent: float = 0.0
    lent_at: float = 0.0


class QuotaLedger:
    """One account a team, for the data centre whose nodes ask this one.

    Load pattern: a team asks several times its usual at all nodes at once, each of which sees a
    few requests a second and cannot tell by itself what the others admit. A token is taken for
    each request before it is admitted, so the sum over all nodes holds at every moment.

    Tokens accrue at the rate at which a window is just filled, and may be saved up as far as the
    quota's burst; besides, no window gets more than it may. So a team over its quota gets each
    window full, and one that was idle its burst at once. Accrual alone bounds what came before
    this node began, of which it knows nothing.

    Parameters
    ----------
    bounds : QuotaBounds
        What may be admitted.
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, bounds: QuotaBounds, now: float) -> None:
        self._bounds = bounds
        self._account_by_team: dict[TeamName, _Account] = {}
        # Since when no other node gives out what this one does.
        self._since = now
        # Until when the tokens to come are spoken for by requests that were told to come back.
        self._promised_until: dict[TeamName, float] = {}

    def __len__(self) -> int:
        return len(self._account_by_team)

    def take(
        self, team: TeamName, share: Share, wanted: float, now: float, *, rank: int = 0
    ) -> Grant:
        """Give out whole tokens for requests of a rank, as far as they are not kept for others."""
        account = self._account(team, share, now)
        room = self._room(account, share, rank, now)
        lent = min(wanted, account.lent)
        own = min(wanted - lent, max(0.0, room))
        whole = float(int(lent + own + ROUNDING))
        lent = min(lent, whole)
        account.lent -= lent
        account.bucket.take(whole - lent, now)
        account.given.give(whole - lent, rank, now)
        return Grant(int(whole), is_lent=lent > 0)

    def asked(self, team: TeamName, share: Share, now: float, *, rank: int) -> None:
        """Note a request of a rank, whatever becomes of it."""
        self._account(team, share, now).given.asked(rank, now)

    def put_back(
        self, team: TeamName, share: Share, unused: Iterable[UnusedToken], now: float
    ) -> None:
        """Take back tokens that were given out here and not used.

        One that another node gave out before this one began is lost: it is not known whether it
        stands in what that one is taken to have given out.
        """
        account = self._account(team, share, now)
        for token in unused:
            given_at = now - token.age
            if given_at >= account.begun:
                account.bucket.put_back(1.0, now)
                account.given.take_back(token.rank, given_at)

    def lend(
        self, team: TeamName, share: Share, wanted: float, now: float, *, rank: int = 0
    ) -> float:
        """Give tokens, or parts of them, to another data centre; return how many."""
        account = self._account(team, share, now)
        lent = min(wanted, LENT_SHARE * max(0.0, self._room(account, share, rank, now)))
        account.bucket.take(lent, now)
        account.given.give(lent, rank, now)
        return lent

    def borrowed(self, team: TeamName, share: Share, tokens: float, now: float) -> None:
        """Take in what another data centre has lent; it is counted there."""
        account = self._account(team, share, now)
        account.lent += tokens
        account.lent_at = now

    def retry_after(self, team: TeamName, share: Share, now: float) -> float:
        """Return the seconds after which a request that got no token is to come back.

        Each is told a later moment than the one before, as far apart as tokens accrue, so that
        those refused together do not return together.
        """
        account = self._account(team, share, now)
        wait = account.bucket.seconds_to(1.0, now)
        if account.given.room(0, self._capacity(share), now) < 1.0:
            wait = max(wait, account.given.seconds_to_room(now))
        rate = account.bucket.rate or self._bounds.rate(share.quota)
        first = now + min(wait, MAX_RETRY_SECONDS)
        moment = max(first, self._promised_until.get(team, first))
        if moment - now >= MAX_RETRY_SECONDS:
            moment = first
        self._promised_until[team] = moment + 1.0 / rate
        return max(MIN_RETRY_SECONDS, moment - now)

    def distrust(self, now: float) -> None:
        """Begin as after a start, where others may have given out tokens meanwhile."""
        self._since = now
        self._account_by_team.clear()

    def begin(self, team: TeamName, share: Share, now: float) -> None:
        """Begin to give out a quota that another node gave out until now."""
        self._account_by_team[team] = self._new_account(share, now)

    def _account(self, team: TeamName, share: Share, now: float) -> _Account:
        account = self._account_by_team.get(team)
        if account is None:
            account = self._new_account(share, self._since)
            self._account_by_team[team] = account
        else:
            rate = share.part * self._bounds.rate(share.quota)
            depth = share.part * self._bounds.depth(share.quota)
            account.bucket.resize(rate, depth, now)
        if now - account.lent_at > self._bounds.lease_seconds:
            account.lent = 0.0
        return account

    def _new_account(self, share: Share, since: float) -> _Account:
        rate = share.part * self._bounds.rate(share.quota)
        depth = share.part * self._bounds.depth(share.quota)
        bucket = TokenBucket(rate, depth, share.part * self._bounds.start(share.quota), since)
        given = RankedWindow(self._bounds.window + self._bounds.lease_seconds)
        return _Account(bucket, given, since)

    def _room(self, account: _Account, share: Share, rank: int, now: float) -> float:
        left = account.given.room(rank, self._capacity(share), now)
        saved = account.bucket.level(now)
        kept = KEPT_SECONDS * account.given.urgent_per_second(rank, now)
        return min(left, saved - min(kept, MAX_KEPT_SHARE * max(0.0, saved)))

    def _capacity(self, share: Share) -> float:
        return share.part * self._bounds.capacity(share.quota)
