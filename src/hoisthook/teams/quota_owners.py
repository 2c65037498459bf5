"""Which node gives out a team's quota in each data centre, and how much of it."""

from __future__ import annotations

import zlib
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.teams.quota_bounds import MIN_DEPTH

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.identity import Address
    from hoisthook.identity import DataCentre
    from hoisthook.identity import NodeId
    from hoisthook.identity import TeamName
    from hoisthook.teams.quota_bounds import QuotaBounds
    from hoisthook.teams.team import Quota


class NodeLocation(Protocol):
    """A node and where it stands."""

    @property
    def node(self) -> NodeId:
        """Return its id."""

    @property
    def data_centre(self) -> DataCentre:
        """Return its data centre."""


class QuotaPeer(Protocol):
    """A node that may be asked."""

    address: Address
    is_self: bool

    @property
    def peer(self) -> NodeLocation:
        """Return who it is."""


# In order of rank, so many stand in for one another in a data centre.
STAND_INS = 3


class QuotaOwners:
    """Ranks the nodes of each data centre for each team by hash, the same wherever it is done.

    The first of a data centre gives out its part; the others take its place in turn while it
    cannot be reached. The part goes by the number of nodes, so that all agree on it whatever
    they believe of who is alive; where that would leave too little to save up whole tokens, one
    data centre has all of it.

    Parameters
    ----------
    quota_peers : iterable of QuotaPeer
        All nodes that are known.
    """

    def __init__(self, quota_peers: Iterable[QuotaPeer]) -> None:
        self._by_data_centre: dict[DataCentre, list[QuotaPeer]] = defaultdict(list)
        self._count = 0
        for quota_peer in quota_peers:
            self._by_data_centre[quota_peer.peer.data_centre].append(quota_peer)
            self._count += 1
        self._ranked: dict[tuple[TeamName, DataCentre], list[QuotaPeer]] = {}

    def ranked(self, team: TeamName, data_centre: DataCentre) -> list[QuotaPeer]:
        """Return the nodes of a data centre that may give out a team's quota, first to last."""
        key = (team, data_centre)
        found = self._ranked.get(key)
        if found is None:
            quota_peers = self._by_data_centre.get(data_centre, [])
            found = sorted(quota_peers, key=lambda quota_peer: _hash(team, quota_peer.peer.node))[
                :STAND_INS
            ]
            self._ranked[key] = found
        return found

    def others(self, team: TeamName, data_centre: DataCentre) -> list[DataCentre]:
        """Return the other data centres, in an order of the team's own."""
        others = (name for name in self._by_data_centre if name != data_centre)
        return sorted(others, key=lambda name: _hash(team, name))

    def size(self, data_centre: DataCentre) -> int:
        """Return how many nodes a data centre has."""
        return len(self._by_data_centre.get(data_centre, []))

    def part(
        self, team: TeamName, data_centre: DataCentre, quota: Quota, bounds: QuotaBounds
    ) -> float:
        """Return a data centre's part of a team's quota, from 0 to 1."""
        least = min(map(len, self._by_data_centre.values()), default=0)
        if self._count == 0:
            return 0.0
        if bounds.depth(quota) * least / self._count >= MIN_DEPTH:
            return self.size(data_centre) / self._count
        home = min(self._by_data_centre, key=lambda name: _hash(team, name))
        return 1.0 if data_centre == home else 0.0


def _hash(team: str, name: str) -> int:
    return zlib.crc32(f"{team} {name}".encode())
