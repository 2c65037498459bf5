"""How much of a quota's bound is used, and what for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.teams.team import Quota

# Of the share and of the number by which the bound exceeds a quota, so much is given out, so that
# what lies within the quota is not refused for tokens that stand in other data centres. The rest
# is for the moments in which a node does not know what another has given out before it.
USED_SHARE = 0.4
# For how long a token may be kept by the node that was given it. It is counted in the windows up
# to then, so a longer time leaves less for others.
LEASE_SECONDS = 0.1
# A data centre with less than this cannot save up whole tokens, so one has all of the quota.
MIN_DEPTH = 2.0


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The bound on what all nodes together may admit for a team.

    In any window that is ``(per_second * window + burst) * (1 + over_share) + extra``.

    Attributes
    ----------
    window : float
        Seconds.
    over_share : float
        By how much of the quota the bound exceeds it.
    extra : float
        Requests besides.
    """

    window: float
    over_share: float = 0.0
    extra: float = 0.0

    @property
    def lease_seconds(self) -> float:
        """Return for how long a token may be kept by the node that was given it."""
        return LEASE_SECONDS if self.over_share > 0 or self.extra > 0 else 0.0

    def allowed(self, quota: Quota) -> float:
        """Return how many requests may run in a window at most."""
        return self._within(quota) * (1.0 + self.over_share) + self.extra

    def capacity(self, quota: Quota) -> float:
        """Return how many tokens all data centres together give out in a window."""
        within = self._within(quota)
        return max(1.0, within * (1.0 + USED_SHARE * self.over_share) + USED_SHARE * self.extra)

    def rate(self, quota: Quota) -> float:
        """Return the tokens a second of all data centres together."""
        return self.capacity(quota) / self.window

    def depth(self, quota: Quota) -> float:
        """Return how many tokens all data centres together may save up."""
        return max(1.0, quota.burst + USED_SHARE * self.extra)

    def start(self, quota: Quota) -> float:
        """Return the level of a node that does not know what was given out just before it.

        Whoever was there before may have given out all that it had saved up, and went on at the
        full rate until then. Below 0 where the bound leaves less than that.
        """
        late = self.rate(quota) * self.lease_seconds
        return self.allowed(quota) - self.capacity(quota) - self.depth(quota) - late

    def _within(self, quota: Quota) -> float:
        return quota.per_second * self.window + quota.burst
