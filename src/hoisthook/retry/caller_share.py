"""Which share of a route's requests callers send, where calls of runs look the same."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import RouteName
    from hoisthook.retry.idle_tracker import IdleObservation

# Of what is estimated, what is counted.
COUNTED_SHARE = 0.9
# Sightings that a route is taken to have had in vain at first, so that it begins as one of calls.
UNSEEN = 1.0
# Beyond so many expected ones the counts are halved, so that a change is learned.
MAX_EXPECTED = 50.0


@dataclass(slots=True)
class _Seen:
    idle: float = 0.0
    expected: float = 0.0


class CallerShares:
    """Learns by what runs where requests begin.

    Load pattern: half of what a service gets are calls that other services make, and it turns
    most of that away. Operators allow repeats by what callers ask, and nothing in a request tells
    whether a caller or a backend server has sent it; but a backend server makes calls only while
    it runs something. Callers do not look at what runs: of their requests the same share comes
    while nothing does as there is such time. Calls never come then. So a route's requests are
    callers' by what came so, to what would have come so were they all callers'. Where something
    runs nearly always neither is added to, and what was learned before holds.
    """

    def __init__(self) -> None:
        self._seen_by_route: dict[RouteName, _Seen] = {}

    def learn(self, route: RouteName, idle_observation: IdleObservation) -> None:
        """Take in what a request of a route found where it began."""
        if idle_observation.share <= 0:
            return
        seen = self._seen_by_route.setdefault(route, _Seen())
        seen.expected += idle_observation.share
        seen.idle += idle_observation.is_idle
        if seen.expected > MAX_EXPECTED:
            seen.expected /= 2.0
            seen.idle /= 2.0

    def share(self, route: RouteName) -> float:
        """Return the share of a route's requests that callers send, as far as that is known."""
        seen = self._seen_by_route.get(route)
        if seen is None:
            return 0.0
        return min(1.0, seen.idle / (seen.expected + UNSEEN))

    def counted(self, route: RouteName) -> float:
        """Return how many requests of callers one of a route counts as."""
        return COUNTED_SHARE * self.share(route)
