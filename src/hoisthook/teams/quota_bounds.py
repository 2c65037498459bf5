"""How much of a quota's bound is used, and what for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.teams.team import Quota

# Of the share by which the bound exceeds a quota: so much is given out at a steady rate, so that
# what lies within the quota is not refused for tokens that stand in other data centres.
STEADY_SHARE = 0.4
# As much pays for tokens that are used later than they were given out.
LATE_SHARE = 0.5
# Of the number by which it exceeds a quota: so much may come at once besides the burst, and with
# so much a data centre begins that does not know what was given out before.
BURST_SHARE = 0.4
START_SHARE = 0.3
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
        return LATE_SHARE * self.over_share * self.window

    def rate(self, quota: Quota) -> float:
        """Return the tokens a second of all data centres together."""
        return quota.per_second * (1.0 + STEADY_SHARE * self.over_share)

    def depth(self, quota: Quota) -> float:
        """Return how many tokens all data centres together may save up."""
        return max(1.0, quota.burst + BURST_SHARE * self.extra)

    def start(self) -> float:
        """Return the tokens with which all data centres together begin."""
        return START_SHARE * self.extra
