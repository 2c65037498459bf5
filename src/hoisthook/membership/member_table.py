"""Table of the known nodes, merged from gossip."""

from __future__ import annotations

import zlib
from collections import deque
from functools import reduce
from itertools import islice
from operator import xor
from typing import TYPE_CHECKING

import msgspec

from hoisthook.membership.member import Member
from hoisthook.membership.member import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterator

    from hoisthook.port.clock import Randomness

UPDATES_PER_EXCHANGE = 12
SUSPECT_SECONDS = 1.5
FORGET_SECONDS = 3600.0
FORGET_PER_SWEEP = 64
BUCKETS = 512


class MemberTable:
    """Merges member records from peers; only a node itself raises the version of its record.

    A changed record is sent in a bounded number of exchanges that grows with the logarithm
    of the number of members, newest first, up to `UPDATES_PER_EXCHANGE` records per exchange.

    Parameters
    ----------
    me : Member
        This node's initial record.
    randomness : Randomness
        Selects the peers for exchanges.
    """

    def __init__(self, me: Member, randomness: Randomness) -> None:
        self._me = me
        self._randomness = randomness
        self._by_node: dict[str, Member] = {me.node: me}
        self._nodes: list[str] = []
        self._changed_at_by_node: dict[str, float] = {}
        self._by_service: dict[str, dict[str, Member]] = {}
        self._suspects: dict[str, None] = {}
        self._departed: dict[str, None] = {}
        self._updates: deque[tuple[str, int]] = deque()
        self._digest_by_bucket = [0] * BUCKETS
        self.on_status: Callable[[Member], None] | None = None
        self._toggle_digest(me)
        self._add_to_service(me)
        self._queue_update(me.node)

    def __len__(self) -> int:
        return len(self._by_node)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._by_node.values())

    @property
    def me(self) -> Member:
        """Return this node's own record."""
        return self._me

    @property
    def digest(self) -> int:
        """Return a digest of the table that does not depend on the order of its records."""
        return reduce(xor, self._digest_by_bucket)

    @property
    def digest_by_bucket(self) -> tuple[int, ...]:
        """Return the digest of each of the `BUCKETS` buckets of the table."""
        return tuple(self._digest_by_bucket)

    @property
    def has_updates(self) -> bool:
        """Return whether there are updates to send."""
        return bool(self._updates)

    def members_of(self, buckets: Collection[int]) -> tuple[Member, ...]:
        """Return the members in ``buckets``, or all if it is empty."""
        if not buckets:
            return tuple(self._by_node.values())
        return tuple(m for m in self._by_node.values() if _bucket(m.node) in buckets)

    def get(self, node: str) -> Member | None:
        """Return the record of a node, or None if it is unknown."""
        return self._by_node.get(node)

    def serving(self, service: str) -> dict[str, Member]:
        """Return the nodes whose backend servers accept requests for ``service``, by id."""
        return self._by_service.get(service, {})

    def update_me(self, now: float, **fields: object) -> None:
        """Change fields of this node's own record and raise its version."""
        changed = msgspec.structs.replace(self._me, version=self._me.version + 1, **fields)
        self._me = changed
        self._put(changed, now)

    def merge(self, member: Member, now: float) -> bool:
        """Merge a record received from a peer.

        Returns
        -------
        bool
            Whether the table changed.
        """
        if member.node == self._me.node:
            return self._refute(member, now)
        known = self._by_node.get(member.node)
        if known is not None and not member.supersedes(known):
            return False
        if not member.is_well_formed():
            return False
        self._put(member, now)
        return True

    def suspect(self, member: Member, now: float) -> None:
        """Mark a node as suspect that did not answer.

        Parameters
        ----------
        member : Member
            Its record at the time of the call; ignored if the node has another incarnation now.
        now : float
            Seconds on a monotonic clock.
        """
        known = self._by_node.get(member.node)
        if known is None or known.incarnation != member.incarnation:
            return
        if known.status is MemberStatus.ALIVE:
            self._put(msgspec.structs.replace(known, status=MemberStatus.SUSPECT), now)

    def expire(self, now: float) -> list[Member]:
        """Declare nodes dead that were suspect for too long; remove those departed long ago.

        Returns
        -------
        list of Member
            The nodes that were declared dead by this call.
        """
        dead = []
        for node in list(self._suspects):
            if now - self._changed_at_by_node[node] > SUSPECT_SECONDS:
                declared = msgspec.structs.replace(self._by_node[node], status=MemberStatus.DEAD)
                self._put(declared, now)
                dead.append(declared)
        # In order of departure, so the first recent one ends the sweep.
        for node in list(islice(self._departed, FORGET_PER_SWEEP)):
            if now - self._changed_at_by_node[node] <= FORGET_SECONDS:
                break
            self._forget(node)
        return dead

    def any_suspect(self) -> Member | None:
        """Return a suspect node, or None."""
        for node in self._suspects:
            return self._by_node[node]
        return None

    def choose_peer(self) -> Member | None:
        """Return a random node for an exchange, occasionally one that was declared dead.

        Contacting dead nodes lets both sides rejoin after a network partition: nodes that are
        alive answer and refute the dead status.
        """
        if not self._nodes:
            return None
        for _ in range(8):
            node = self._nodes[self._randomness.randrange(len(self._nodes))]
            member = self._by_node[node]
            if not member.has_departed:
                return member
            if member.status is MemberStatus.DEAD and self._randomness.random() < 0.2:
                return member
        return None

    def take_updates(self) -> tuple[Member, ...]:
        """Return the updates for one exchange, and count them as sent."""
        updates = []
        for _ in range(min(UPDATES_PER_EXCHANGE, len(self._updates))):
            node, sends_left = self._updates.popleft()
            member = self._by_node.get(node)
            if member is None:
                continue
            updates.append(member)
            if sends_left > 1:
                self._updates.append((node, sends_left - 1))
        return tuple(updates)

    def _refute(self, member: Member, now: float) -> bool:
        own = self._me
        contradicts = (
            member.status is not MemberStatus.ALIVE or member.incarnation != own.incarnation
        )
        if member.version < own.version or (member.version == own.version and not contradicts):
            return False
        if own.status is MemberStatus.LEFT:
            return False
        self._me = msgspec.structs.replace(own, version=member.version + 1)
        self._put(self._me, now)
        return True

    def _put(self, member: Member, now: float) -> None:
        known = self._by_node.get(member.node)
        if known is None:
            self._nodes.append(member.node)
        else:
            self._toggle_digest(known)
            self._remove_from_service(known)
        self._by_node[member.node] = member
        self._suspects.pop(member.node, None)
        self._departed.pop(member.node, None)
        if member.status is MemberStatus.SUSPECT:
            self._suspects[member.node] = None
        elif member.has_departed:
            self._departed[member.node] = None
        self._changed_at_by_node[member.node] = now
        self._toggle_digest(member)
        self._add_to_service(member)
        self._queue_update(member.node)
        if self.on_status is not None and (known is None or known.status is not member.status):
            self.on_status(member)

    def _forget(self, node: str) -> None:
        member = self._by_node.pop(node)
        self._departed.pop(node, None)
        self._changed_at_by_node.pop(node, None)
        self._nodes.remove(node)
        self._toggle_digest(member)
        self._remove_from_service(member)

    def _add_to_service(self, member: Member) -> None:
        if member.has_departed or not member.takes_work or not member.service:
            return
        self._by_service.setdefault(member.service, {})[member.node] = member

    def _remove_from_service(self, member: Member) -> None:
        members = self._by_service.get(member.service)
        if members is None:
            return
        members.pop(member.node, None)
        if not members:
            del self._by_service[member.service]

    def _queue_update(self, node: str) -> None:
        sends = 3 + len(self._by_node).bit_length()
        self._updates.appendleft((node, sends))

    def _toggle_digest(self, member: Member) -> None:
        # Exclusive or adds a record to the digest, and removes it when applied again.
        text = f"{member.node} {member.incarnation} {member.version} {member.status.value}"
        self._digest_by_bucket[_bucket(member.node)] ^= zlib.crc32(text.encode())


def _bucket(node: str) -> int:
    return zlib.crc32(node.encode()) % BUCKETS
