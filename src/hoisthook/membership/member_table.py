"""The nodes that this node knows, merged from gossip."""

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

NEWS_PER_EXCHANGE = 12
SUSPECT_SECONDS = 1.5
FORGET_SECONDS = 3600.0
FORGET_PER_SWEEP = 64
BUCKETS = 512


class MemberTable:
    """Merges what peers say; each node alone speaks for itself.

    News is handed on a bounded number of times that grows with the logarithm of
    the number of members, newest first, `NEWS_PER_EXCHANGE` an exchange.

    Parameters
    ----------
    me : Member
        This node's first word about itself.
    randomness : Randomness
        Chooses whom to talk to.
    """

    def __init__(self, me: Member, randomness: Randomness) -> None:
        self._me = me
        self._randomness = randomness
        self._by_node: dict[str, Member] = {me.node: me}
        self._nodes: list[str] = []
        self._changed_at_by_node: dict[str, float] = {}
        self._by_service: dict[str, dict[str, Member]] = {}
        self._suspects: dict[str, None] = {}
        self._gone: dict[str, None] = {}
        self._news: deque[tuple[str, int]] = deque()
        self._digest_by_bucket = [0] * BUCKETS
        self.on_status: Callable[[Member], None] | None = None
        self._add_digest(me)
        self._list(me)
        self._tell(me.node)

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
        """Return a digest of the table that does not depend on order."""
        return reduce(xor, self._digest_by_bucket)

    @property
    def digest_by_bucket(self) -> tuple[int, ...]:
        """Return the digests of the `BUCKETS` parts of the table."""
        return tuple(self._digest_by_bucket)

    @property
    def has_news(self) -> bool:
        """Return whether there is news to hand on."""
        return bool(self._news)

    def members_of(self, buckets: Collection[int]) -> tuple[Member, ...]:
        """Return the members in some of the parts, or all if ``buckets`` is empty."""
        if not buckets:
            return tuple(self._by_node.values())
        return tuple(m for m in self._by_node.values() if _bucket(m.node) in buckets)

    def get(self, node: str) -> Member | None:
        """Return what is known of a node."""
        return self._by_node.get(node)

    def serving(self, service: str) -> dict[str, Member]:
        """Return the nodes whose backend servers take work for ``service``, by id."""
        return self._by_service.get(service, {})

    def update_me(self, now: float, **fields: object) -> None:
        """Say something new about this node."""
        changed = msgspec.structs.replace(self._me, version=self._me.version + 1, **fields)
        self._me = changed
        self._put(changed, now)

    def merge(self, member: Member, now: float) -> bool:
        """Take in what a peer says.

        Returns
        -------
        bool
            Whether it was news.
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
        """Note that a node, as it was known when it was called, did not answer."""
        known = self._by_node.get(member.node)
        if known is None or known.incarnation != member.incarnation:
            return
        if known.status is MemberStatus.ALIVE:
            self._put(msgspec.structs.replace(known, status=MemberStatus.SUSPECT), now)

    def expire(self, now: float) -> list[Member]:
        """Declare dead whoever was suspected for too long; forget the long dead.

        Returns
        -------
        list of Member
            Those declared dead now.
        """
        dead = []
        for node in list(self._suspects):
            if now - self._changed_at_by_node[node] > SUSPECT_SECONDS:
                buried = msgspec.structs.replace(self._by_node[node], status=MemberStatus.DEAD)
                self._put(buried, now)
                dead.append(buried)
        # Kept in the order of their going, so the first young one ends the sweep.
        for node in list(islice(self._gone, FORGET_PER_SWEEP)):
            if now - self._changed_at_by_node[node] <= FORGET_SECONDS:
                break
            self._forget(node)
        return dead

    def any_suspect(self) -> Member | None:
        """Return a node that is suspected, or None."""
        for node in self._suspects:
            return self._by_node[node]
        return None

    def choose_peer(self) -> Member | None:
        """Return a random node to talk to, now and then one believed dead.

        Talking to the dead heals a parted network: they answer, and refute.
        """
        if not self._nodes:
            return None
        for _ in range(8):
            node = self._nodes[self._randomness.randrange(len(self._nodes))]
            member = self._by_node[node]
            if not member.is_gone:
                return member
            if member.status is MemberStatus.DEAD and self._randomness.random() < 0.2:
                return member
        return None

    def take_news(self) -> tuple[Member, ...]:
        """Return the news for one exchange."""
        news = []
        for _ in range(min(NEWS_PER_EXCHANGE, len(self._news))):
            node, left = self._news.popleft()
            member = self._by_node.get(node)
            if member is None:
                continue
            news.append(member)
            if left > 1:
                self._news.append((node, left - 1))
        return tuple(news)

    def _refute(self, member: Member, now: float) -> bool:
        mine = self._me
        doubted = member.status is not MemberStatus.ALIVE or member.incarnation != mine.incarnation
        if member.version < mine.version or (member.version == mine.version and not doubted):
            return False
        if mine.status is MemberStatus.LEFT:
            return False
        self._me = msgspec.structs.replace(mine, version=member.version + 1)
        self._put(self._me, now)
        return True

    def _put(self, member: Member, now: float) -> None:
        known = self._by_node.get(member.node)
        if known is None:
            self._nodes.append(member.node)
        else:
            self._add_digest(known)
            self._unlist(known)
        self._by_node[member.node] = member
        self._suspects.pop(member.node, None)
        self._gone.pop(member.node, None)
        if member.status is MemberStatus.SUSPECT:
            self._suspects[member.node] = None
        elif member.is_gone:
            self._gone[member.node] = None
        self._changed_at_by_node[member.node] = now
        self._add_digest(member)
        self._list(member)
        self._tell(member.node)
        if self.on_status is not None and (known is None or known.status is not member.status):
            self.on_status(member)

    def _forget(self, node: str) -> None:
        member = self._by_node.pop(node)
        self._gone.pop(node, None)
        self._changed_at_by_node.pop(node, None)
        self._nodes.remove(node)
        self._add_digest(member)
        self._unlist(member)

    def _list(self, member: Member) -> None:
        if member.is_gone or not member.takes_work or not member.service:
            return
        self._by_service.setdefault(member.service, {})[member.node] = member

    def _unlist(self, member: Member) -> None:
        listed = self._by_service.get(member.service)
        if listed is None:
            return
        listed.pop(member.node, None)
        if not listed:
            del self._by_service[member.service]

    def _tell(self, node: str) -> None:
        times = 3 + len(self._by_node).bit_length()
        self._news.appendleft((node, times))

    def _add_digest(self, member: Member) -> None:
        # Exclusive or both adds a record to the digest and takes it out again.
        text = f"{member.node} {member.incarnation} {member.version} {member.status.value}"
        self._digest_by_bucket[_bucket(member.node)] ^= zlib.crc32(text.encode())


def _bucket(node: str) -> int:
    return zlib.crc32(node.encode()) % BUCKETS
