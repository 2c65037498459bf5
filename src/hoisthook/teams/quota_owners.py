"""Assigns each team's quota to owner nodes in the data centres."""

from __future__ import annotations

import zlib
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.identity import NodeId
from hoisthook.teams.quota_bounds import MIN_DEPTH

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.identity import Address
    from hoisthook.identity import DataCentre
    from hoisthook.identity import TeamName
    from hoisthook.teams.quota_bounds import QuotaBounds
    from hoisthook.teams.team import Quota


class NodeLocation(Protocol):
    """A node and its data centre."""

    @property
    def node(self) -> NodeId:
        """Return the id of the node."""

    @property
    def data_centre(self) -> DataCentre:
        """Return the data centre of the node."""


class QuotaPeer(Protocol):
    """A node that may be queried for tokens."""

    address: Address
    is_self: bool

    @property
    def peer(self) -> NodeLocation:
        """Return the node's location."""


# Nodes of a data centre that may own a quota: the first in rank and its fallbacks.
OWNERS_PER_DATA_CENTRE = 3


class QuotaOwners:
    """Ranks the nodes of each data centre by a hash per team, with the same result on every node.

    The first node of a data centre grants the tokens of its part; the next ones replace it in
    order while it is unreachable. The part is proportional to the number of known nodes, dead or
    alive, so that nodes agree on it even if they disagree on which are alive. If the parts would
    be too small to save up whole tokens, one data centre has the complete quota.

    Parameters
    ----------
    quota_peers : iterable of QuotaPeer
        All known nodes.

    Attributes
    ----------
    me : NodeId
        This node; empty if it is not among them.
    """

    def __init__(self, quota_peers: Iterable[QuotaPeer]) -> None:
        self._by_data_centre: dict[DataCentre, list[QuotaPeer]] = defaultdict(list)
        self._count = 0
        self.me = NodeId("")
        for quota_peer in quota_peers:
            if quota_peer.is_self:
                self.me = quota_peer.peer.node
            self._by_data_centre[quota_peer.peer.data_centre].append(quota_peer)
            self._count += 1
        self._ranked_by_key: dict[tuple[TeamName, DataCentre], list[QuotaPeer]] = {}

    def ranked(self, team: TeamName, data_centre: DataCentre) -> list[QuotaPeer]:
        """Return the nodes of a data centre that may own a team's quota, in order of rank."""
        key = (team, data_centre)
        ranked = self._ranked_by_key.get(key)
        if ranked is None:
            quota_peers = self._by_data_centre.get(data_centre, [])
            ranked = sorted(quota_peers, key=lambda quota_peer: _hash(team, quota_peer.peer.node))[
                :OWNERS_PER_DATA_CENTRE
            ]
            self._ranked_by_key[key] = ranked
        return ranked

    def others(self, team: TeamName, data_centre: DataCentre) -> list[DataCentre]:
        """Return the other data centres, in an order that depends on the team."""
        others = (name for name in self._by_data_centre if name != data_centre)
        return sorted(others, key=lambda name: _hash(team, name))

    def size(self, data_centre: DataCentre) -> int:
        """Return how many nodes are known in a data centre."""
        return len(self._by_data_centre.get(data_centre, []))

    def part(
        self, team: TeamName, data_centre: DataCentre, quota: Quota, bounds: QuotaBounds
    ) -> float:
        """Return a data centre's part of a team's quota, from 0 to 1."""
        smallest = min(map(len, self._by_data_centre.values()), default=0)
        if self._count == 0:
            return 0.0
        if bounds.depth(quota) * smallest / self._count >= MIN_DEPTH:
            return self.size(data_centre) / self._count
        sole_owner = min(self._by_data_centre, key=lambda name: _hash(team, name))
        return 1.0 if data_centre == sole_owner else 0.0


def _hash(team: str, name: str) -> int:
    return zlib.crc32(f"{team} {name}".encode())
