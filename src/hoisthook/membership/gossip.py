"""Periodic gossip exchanges with peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.identity import format_address
from hoisthook.identity import parse_address
from hoisthook.membership.member import Exchange
from hoisthook.membership.member import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from hoisthook.identity import Address
    from hoisthook.membership.member import Member
    from hoisthook.membership.member_table import MemberTable
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.peer_transport import PeerTransport
    from hoisthook.retry.crash_evidence import CrashEvidence

    OnPeerOffset = Callable[[Address, int], Awaitable[None]]

FULL_SYNC_SECONDS = 2.0
JOIN_ROUNDS = 3
# Rounds between exchanges with a seed that is not in the table. A seed that was slow to start may
# know nodes that are unknown here; a dead seed costs a failed connection each time.
UNKNOWN_SEED_ROUNDS = 5
ANNOUNCE_PEERS = 5
ANNOUNCE_DRAWS = 25
# Probability that a table with another digest is reconciled.
BUSY_RECONCILE_PROBABILITY = 0.02
IDLE_RECONCILE_PROBABILITY = 0.25
MAX_BUCKETS = 32


class Gossip:
    """Push-pull gossip with one random peer per interval, in messages of bounded size.

    A peer that does not answer becomes suspect; one that stays suspect for
    `hoisthook.membership.member_table.SUSPECT_SECONDS` is declared dead. Tables whose
    digests differ are reconciled at random, rarely while there are updates to send, by
    fetching the buckets that differ. A lost message therefore leaves no lasting difference.

    Parameters
    ----------
    table : MemberTable
        Records from peers are merged into it.
    transport : PeerTransport
        Sends messages to peers.
    clock : Clock
        Monotonic clock.
    randomness : Randomness
        Selects seeds, varies the interval and decides when to reconcile.
    seeds : list of Address
        Nodes to contact when joining, and while no other node is known.
    interval : float
        Mean seconds between two exchanges.
    """

    def __init__(
        self,
        table: MemberTable,
        transport: PeerTransport,
        clock: Clock,
        randomness: Randomness,
        *,
        seeds: list[Address],
        interval: float,
    ) -> None:
        self.table = table
        self._transport = transport
        self._clock = clock
        self._randomness = randomness
        self._interval = interval
        self._rounds = 0
        self._fetch_task: asyncio.Task[None] | None = None
        self.seeds = seeds
        self.crashes: CrashEvidence | None = None
        self.configuration_offset: Callable[[], int] = lambda: -1
        self.on_peer_offset: OnPeerOffset | None = None
        self.on_contact: Callable[[float], None] | None = None
        self.exchanges = 0
        self.failures = 0

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            await self.round()
            await asyncio.sleep(self._interval * (0.75 + 0.5 * self._randomness.random()))

    async def round(self) -> None:
        """Exchange with a random peer, and where due with a seed and with a suspect."""
        self._rounds += 1
        self.table.expire(self._clock.now())
        peer = self.table.choose_peer()
        seed = self._choose_seed(peer)
        if seed is not None:
            await self._exchange_with(seed, None)
        if peer is not None:
            await self._exchange_with(parse_address(peer.address), peer)
        suspected = self.table.any_suspect()
        if suspected is not None and suspected is not peer:
            # A node can refute only a suspicion that it has received.
            await self._exchange_with(parse_address(suspected.address), suspected)

    async def leave(self) -> None:
        """Announce to a few peers that this node leaves."""
        self.table.update_me(self._clock.now(), status=MemberStatus.LEFT, takes_work=False)
        await self.announce()

    async def announce(self) -> None:
        """Exchange with several peers at once, without waiting for the next round."""
        peers: dict[str, Member] = {}
        for _ in range(ANNOUNCE_DRAWS):
            peer = self.table.choose_peer()
            if peer is not None:
                peers[peer.node] = peer
            if len(peers) == ANNOUNCE_PEERS:
                break
        calls = [self._exchange_with(parse_address(p.address), p) for p in peers.values()]
        await asyncio.gather(*calls)

    def receive(self, message: Exchange) -> Exchange:
        """Merge a peer's message and return the answer to it."""
        self._merge(message)
        if message.configuration_offset > self.configuration_offset():
            self._start_fetch(message)
        return self.message_for(message.sender)

    def _start_fetch(self, message: Exchange) -> None:
        """Start to fetch newer configuration from a peer, one fetch at a time."""
        if self.on_peer_offset is None or self._fetch_task is not None:
            return
        address = parse_address(message.sender.address)
        fetch = self._fetch(self.on_peer_offset, address, message.configuration_offset)
        self._fetch_task = asyncio.get_running_loop().create_task(fetch)

    async def _fetch(self, fetch: OnPeerOffset, address: Address, offset: int) -> None:
        try:
            await fetch(address, offset)
        except (OSError, TimeoutError, ValueError):
            self.failures += 1
        finally:
            self._fetch_task = None

    def _choose_seed(self, peer: Member | None) -> Address | None:
        joining = self._rounds <= JOIN_ROUNDS or peer is None
        seeds = self.seeds if joining else self._unknown_seeds()
        if not seeds:
            return None
        return seeds[self._randomness.randrange(len(seeds))]

    def _unknown_seeds(self) -> list[Address]:
        if self._rounds % UNKNOWN_SEED_ROUNDS:
            return []
        known = {member.address for member in self.table}
        known.add(self.table.me.address)
        return [seed for seed in self.seeds if format_address(seed) not in known]

    async def _exchange_with(self, address: Address, peer: Member | None) -> None:
        self.exchanges += 1
        begun = self._clock.now()
        try:
            answer = await self._transport.exchange(address, self.message_for(peer))
            self._merge(answer)
            if self._wants_sync(answer):
                await self._reconcile(address)
            if self.on_peer_offset is not None:
                await self.on_peer_offset(address, answer.configuration_offset)
            if self.on_contact is not None:
                self.on_contact(begun)
        except (OSError, TimeoutError, ValueError):
            # ValueError: the answer has another format, such as that of a later version.
            self.failures += 1
            if peer is not None:
                self.table.suspect(peer, self._clock.now())

    async def _reconcile(self, address: Address) -> None:
        """Fetch the buckets of the peer's table that differ; all of them when joining."""
        buckets: tuple[int, ...] = ()
        if self._rounds > JOIN_ROUNDS:
            theirs = await self._transport.digests(address)
            pairs = enumerate(zip(self.table.digest_by_bucket, theirs, strict=True))
            buckets = tuple(number for number, (own, other) in pairs if own != other)
            if not buckets:
                return
        for member in await self._transport.members(address, buckets[:MAX_BUCKETS]):
            self.table.merge(member, self._clock.now())

    def _wants_sync(self, answer: Exchange) -> bool:
        if answer.table_digest == self.table.digest:
            return False
        if self._rounds <= JOIN_ROUNDS:
            return True
        probability = (
            BUSY_RECONCILE_PROBABILITY if self.table.has_updates else IDLE_RECONCILE_PROBABILITY
        )
        return self._randomness.random() < probability

    def message_for(self, peer: Member | None) -> Exchange:
        """Return the message for a peer, or for a seed that is not in the table (None)."""
        updates = self.table.take_updates()
        known = None if peer is None else self.table.get(peer.node)
        if known is not None and known.status is not MemberStatus.ALIVE:
            updates = (*updates, known)
        return Exchange(
            sender=self.table.me,
            members=updates,
            configuration_offset=self.configuration_offset(),
            table_digest=self.table.digest,
            crashes=() if self.crashes is None else self.crashes.all_reports(self._clock.now()),
        )

    def _merge(self, message: Exchange) -> None:
        now = self._clock.now()
        if self.crashes is not None:
            self.crashes.merge(message.crashes, now)
        self.table.merge(message.sender, now)
        for member in message.members:
            self.table.merge(member, now)
