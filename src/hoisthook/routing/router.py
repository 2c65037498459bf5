"""Chooses a backend server of a service by the routing policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.identity import parse_address
from hoisthook.routing.candidate import Candidate
from hoisthook.routing.load_view import LoadView

if TYPE_CHECKING:
    from collections.abc import Collection

    from hoisthook.membership.member import Member
    from hoisthook.membership.member_table import MemberTable
    from hoisthook.routing.policy import Policy

# Initial estimates of the network round-trip time.
LOCAL_NETWORK_SECONDS = 0.0001
SAME_DATA_CENTRE_NETWORK_SECONDS = 0.0006
OTHER_DATA_CENTRE_NETWORK_SECONDS = 0.002


class Router:
    """Chooses a backend server for each attempt.

    Parameters
    ----------
    table : MemberTable
        The known members.
    policy : Policy
        Chooses among the candidates.
    """

    def __init__(self, table: MemberTable, policy: Policy) -> None:
        self._table = table
        self._policy = policy
        self._by_node: dict[str, Candidate] = {}

    def choose(self, service: str, tried: Collection[str], now: float) -> Candidate | None:
        """Return a backend server that has not been tried yet, or None.

        One that is closed for now is chosen only if no open one is left.

        Parameters
        ----------
        service : str
            The service's name.
        tried : collection of str
            Nodes to exclude.
        now : float
            Seconds on the clock of the load views.
        """
        open_candidates: list[Candidate] = []
        closed_candidates: list[Candidate] = []
        for node, member in self._table.serving(service).items():
            if node in tried:
                continue
            candidate = self._candidate(member)
            if candidate.view.closed_until > now:
                closed_candidates.append(candidate)
            else:
                open_candidates.append(candidate)
        if open_candidates:
            return self._policy.choose(open_candidates, now)
        if closed_candidates:
            return min(closed_candidates, key=lambda candidate: candidate.view.closed_until)
        return None

    def least_waiting(self, service: str, now: float) -> Candidate | None:
        """Return the open backend server with the shortest queue by the last reports, or None."""
        members = self._table.serving(service).values()
        known = [self._candidate(member) for member in members]
        candidates = [candidate for candidate in known if candidate.view.closed_until <= now]
        if not candidates:
            return None
        return min(candidates, key=lambda c: (c.view.waiting, c.view.reported_load))

    def drop_removed(self) -> None:
        """Drop candidates whose nodes are no longer in the member table."""
        for node in [node for node in self._by_node if self._table.get(node) is None]:
            del self._by_node[node]

    def _candidate(self, member: Member) -> Candidate:
        candidate = self._by_node.get(member.node)
        if candidate is not None and candidate.member is member:
            return candidate
        if candidate is not None and candidate.member.incarnation == member.incarnation:
            candidate.member = member
            return candidate
        me = self._table.me
        local = member.node == me.node
        candidate = Candidate(
            member, parse_address(member.address), self._new_view(member, local), local
        )
        self._by_node[member.node] = candidate
        return candidate

    def _new_view(self, member: Member, local: bool) -> LoadView:
        if local:
            return LoadView(member.slots, LOCAL_NETWORK_SECONDS)
        if member.data_centre == self._table.me.data_centre:
            return LoadView(member.slots, SAME_DATA_CENTRE_NETWORK_SECONDS)
        return LoadView(member.slots, OTHER_DATA_CENTRE_NETWORK_SECONDS)
