"""Candidates of each service and the choice among them."""

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

LOCAL_SECONDS = 0.0001
SAME_DATA_CENTRE_SECONDS = 0.0006
OTHER_DATA_CENTRE_SECONDS = 0.002


class Router:
    """Chooses a backend server for each try.

    Parameters
    ----------
    table : MemberTable
        Who is there.
    policy : Policy
        How to choose.
    """

    def __init__(self, table: MemberTable, policy: Policy) -> None:
        self._table = table
        self._policy = policy
        self._by_node: dict[str, Candidate] = {}

    def choose(self, service: str, tried: Collection[str], now: float) -> Candidate | None:
        """Return a backend server not tried yet, or None.

        One that closed itself for a while is chosen only if no open one is left.

        Parameters
        ----------
        service : str
            The service's name.
        tried : collection of str
            Nodes to leave out.
        now : float
            Seconds on the views' clock.
        """
        open_ones: list[Candidate] = []
        closed: list[Candidate] = []
        for node, member in self._table.serving(service).items():
            if node in tried:
                continue
            candidate = self._candidate(member)
            if candidate.view.closed_until > now:
                closed.append(candidate)
            else:
                open_ones.append(candidate)
        if open_ones:
            return self._policy.choose(open_ones, now)
        if closed:
            return min(closed, key=lambda candidate: candidate.view.closed_until)
        return None

    def least_waiting(self, service: str, now: float) -> Candidate | None:
        """Return the open backend server with the shortest queue by the last reports."""
        members = self._table.serving(service).values()
        known = [self._candidate(member) for member in members]
        candidates = [candidate for candidate in known if candidate.view.closed_until <= now]
        if not candidates:
            return None
        return min(candidates, key=lambda c: (c.view.waiting, c.view.reported_load))

    def forget_gone(self) -> None:
        """Drop views of nodes that the table does not know any more."""
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
            return LoadView(member.slots, LOCAL_SECONDS)
        if member.data_centre == self._table.me.data_centre:
            return LoadView(member.slots, SAME_DATA_CENTRE_SECONDS)
        return LoadView(member.slots, OTHER_DATA_CENTRE_SECONDS)
