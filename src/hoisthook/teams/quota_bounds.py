"""Converts a quota and its bound into the capacity, rate and depth of token buckets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.teams.team import Quota

# Share of the excess of the bound over the quota that is granted as tokens, so that requests within
# the quota are not rejected while tokens are held in other data centres. The rest covers the times
# at which a node does not know what another node has granted before it.
EXCESS_SHARE = 0.4
# Lease of a token at the node that received it. A token counts in all windows until then, so a
# longer lease leaves fewer tokens for others.
LEASE_SECONDS = 0.1
# Smallest depth with which a data centre can save up whole tokens; below it, one data centre owns
# the complete quota.
MIN_DEPTH = 2.0


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The bound on what all nodes together may admit for a team.

    In any window it is ``(per_second * window + burst) * (1 + over_share) + extra`` requests.

    Attributes
    ----------
    window : float
        Length of the window in seconds.
    over_share : float
        Share of the quota by which the bound exceeds it.
    extra : float
        Further requests per window by which the bound exceeds the quota.
    """

    window: float
    over_share: float = 0.0
    extra: float = 0.0

    @property
    def lease_seconds(self) -> float:
        """Return the lease of a token in seconds; 0 if the bound leaves no excess for one."""
        return LEASE_SECONDS if self.over_share > 0 or self.extra > 0 else 0.0

    def allowed(self, quota: Quota) -> float:
        """Return how many requests may be executed in a window at most."""
        return self._window_quota(quota) * (1.0 + self.over_share) + self.extra

    def capacity(self, quota: Quota) -> float:
        """Return how many tokens all data centres together grant in a window."""
        window_quota = self._window_quota(quota)
        return max(
            1.0, window_quota * (1.0 + EXCESS_SHARE * self.over_share) + EXCESS_SHARE * self.extra
        )

    def rate(self, quota: Quota) -> float:
        """Return the tokens per second of all data centres together."""
        return self.capacity(quota) / self.window

    def depth(self, quota: Quota) -> float:
        """Return how many tokens all data centres together may save up."""
        return max(1.0, quota.burst + EXCESS_SHARE * self.extra)

    def start(self, quota: Quota) -> float:
        """Return the initial level of a node that does not know what was granted before it.

        The previous owner may have granted all its saved tokens and continued at the full rate
        until now. The level is below 0 if the bound leaves less than that, and never above 0:
        several owners may begin anew within a window, and only one accrues tokens at a time.
        """
        lease_tokens = self.rate(quota) * self.lease_seconds
        left = self.allowed(quota) - self.capacity(quota) - self.depth(quota) - lease_tokens
        return min(0.0, left)

    def _window_quota(self, quota: Quota) -> float:
        return quota.per_second * self.window + quota.burst
