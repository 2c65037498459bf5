"""Gives out a data centre's part of each team's quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.teams.token_bucket import TokenBucket

if TYPE_CHECKING:
    from hoisthook.identity import TeamName
    from hoisthook.teams.quota_bounds import QuotaBounds
    from hoisthook.teams.team import Quota

# What another data centre is lent at most, as a share of what is there: both may be short next.
LENT_SHARE = 0.5
# Nobody is told to come back later than this: a quota may be raised, and others lend.
MAX_RETRY_SECONDS = 2.0
MIN_RETRY_SECONDS = 0.02


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


class QuotaLedger:
    """One bucket of tokens a team, for the data centre whose nodes ask this one.

    Load pattern: a team asks several times its usual at all nodes at once, each of which sees a
    few requests a second and cannot tell by itself what the others admit. A token is taken for
    each request before it is admitted, so the sum over all nodes holds at every moment.

    A bucket begins nearly empty, since whoever gave out tokens before may have given out all.

    Parameters
    ----------
    bounds : QuotaBounds
        What may be admitted.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._bucket_by_team: dict[TeamName, TokenBucket] = {}
        # Until when the tokens to come are spoken for by requests that were told to come back.
        self._promised_until: dict[TeamName, float] = {}

    def __len__(self) -> int:
        return len(self._bucket_by_team)

    def take(self, team: TeamName, share: Share, wanted: float, now: float) -> int:
        """Give out whole tokens for requests; return how many."""
        return int(self._bucket(team, share, now).take(wanted, now))

    def put_back(self, team: TeamName, share: Share, tokens: int, now: float) -> None:
        """Take back tokens that were not used."""
        self._bucket(team, share, now).put_back(tokens, now)

    def lend(self, team: TeamName, share: Share, wanted: float, now: float) -> float:
        """Give tokens, or parts of them, to another data centre; return how many."""
        bucket = self._bucket(team, share, now)
        return bucket.split(min(wanted, LENT_SHARE * bucket.level(now)), now)

    def borrowed(self, team: TeamName, share: Share, tokens: float, now: float) -> None:
        """Take in what another data centre has lent."""
        self._bucket(team, share, now).add(tokens, now)

    def retry_after(self, team: TeamName, share: Share, now: float) -> float:
        """Return the seconds after which a request that got no token is to come back.

        Each is told a later moment than the one before, as far apart as tokens accrue, so that
        those refused together do not return together.
        """
        bucket = self._bucket(team, share, now)
        rate = bucket.rate or self._bounds.rate(share.quota)
        first = now + min(bucket.seconds_to_one(now), MAX_RETRY_SECONDS)
        moment = max(first, self._promised_until.get(team, first))
        if moment - now >= MAX_RETRY_SECONDS:
            moment = first
        self._promised_until[team] = moment + 1.0 / rate
        return max(MIN_RETRY_SECONDS, moment - now)

    def distrust(self, now: float, team: TeamName | None = None) -> None:
        """Begin again with nothing, for one team or all, where others may have given tokens out."""
        for name, bucket in self._bucket_by_team.items():
            if team in (None, name):
                bucket.empty_to(0.0, now)

    def _bucket(self, team: TeamName, share: Share, now: float) -> TokenBucket:
        rate = share.part * self._bounds.rate(share.quota)
        depth = share.part * self._bounds.depth(share.quota)
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            start = share.part * self._bounds.start()
            bucket = TokenBucket(rate, depth, start, now)
            self._bucket_by_team[team] = bucket
        else:
            bucket.resize(rate, depth, now)
        return bucket
