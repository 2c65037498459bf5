"""Admits a team's requests within its quota by tokens from the nodes that own the quota."""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.background_tasks import BackgroundTasks
from hoisthook.result_code import ResultCode
from hoisthook.teams.held_tokens import HeldTokens
from hoisthook.teams.quota_ledger import QuotaLedger
from hoisthook.teams.quota_ledger import Share
from hoisthook.teams.quota_messages import QuotaReply
from hoisthook.teams.quota_messages import QuotaRequest
from hoisthook.teams.quota_owners import QuotaOwners
from hoisthook.teams.quota_verdict import OverQuota
from hoisthook.teams.quota_verdict import Token
from hoisthook.teams.team import Quota
from hoisthook.teams.unreachable_nodes import UnreachableNodes

if TYPE_CHECKING:
    from hoisthook.identity import DataCentre
    from hoisthook.identity import TeamName
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.teams.quota_bounds import QuotaBounds
    from hoisthook.teams.quota_owners import QuotaPeer

# Pause after an attempt to borrow failed: while all data centres are short, the next attempt would
# fail as well.
NO_LENDER_SECONDS = 0.1
# Data centres queried for a loan, one after the other.
MAX_LENDERS = 3
# Concurrent requests share a loan; a request that got none of its tokens tries again.
MAX_BORROW_ATTEMPTS = 3
# A loan is the number of tokens that the quota yields in this time, and at least one.
BORROW_SECONDS = 0.1
# A node without contact to any other node of its data centre for this time may be partitioned from
# one that grants the same quota there, so it grants nothing.
ISOLATED_SECONDS = 1.5
OWNER_UNKNOWN_RETRY_SECONDS = 0.3
# Delay within which unused tokens are collected and returned in one message.
RETURN_DELAY_SECONDS = 0.02
# Longest wait for a node that may have an account to hand over. Nodes that ask for tokens wait too.
HAND_OVER_SECONDS = 0.05
# Minimum time between two events of a team that is over its quota.
LOG_INTERVAL_SECONDS = 1.0


class QuotaTransport(Protocol):
    """Sends quota requests to other nodes."""

    async def query_peer(self, quota_peer: QuotaPeer, request: QuotaRequest) -> QuotaReply | None:
        """Return a node's reply, or None if it sent none."""


class QuotaCoordinator:
    """Obtains a token for each request of a team, and grants the tokens of the quotas it owns.

    Each data centre has a part of a team's quota, and one of its nodes, the owner, grants the
    tokens of this part. Tokens move between data centres only as loans: the lender deducts them
    before the borrower adds them. A partition between data centres thus leaves each side its
    tokens, and a lost reply loses tokens rather than duplicating them.

    Parameters
    ----------
    bounds : QuotaBounds
        The bound on the admitted requests.
    data_centre : DataCentre
        The data centre of this node.
    transport : QuotaTransport
        Sends requests to other nodes.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives an event for a team over its quota.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        data_centre: DataCentre,
        transport: QuotaTransport,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._bounds = bounds
        self._data_centre = data_centre
        self._transport = transport
        self._clock = clock
        self._log = log
        self._ledger = QuotaLedger(bounds, clock.now())
        self._held = HeldTokens(bounds.lease_seconds)
        self._owners = QuotaOwners(())
        self._unreachable_nodes = UnreachableNodes()
        self._tasks = BackgroundTasks()
        self._returning: set[TeamName] = set()
        # By team and rank: lenders may have tokens that they reserve for urgent requests.
        self._borrowing: dict[tuple[TeamName, int], asyncio.Task[None]] = {}
        self._no_lender_until: dict[tuple[TeamName, int], float] = {}
        self._served_as_fallback_at: dict[TeamName, float] = {}
        # Quotas whose other possible owners have no account that this node does not know of.
        self._settled: set[TeamName] = set()
        self._settling: dict[TeamName, asyncio.Task[None]] = {}
        self._logged_at: dict[TeamName, float] = {}
        self._last_contact_at = clock.now()

    def set_owners(self, owners: QuotaOwners) -> None:
        """Set the owners of the quotas after a change of the known nodes."""
        self._owners = owners

    def peer_contacted(self) -> None:
        """Record a message from another node of this data centre."""
        now = self._clock.now()
        if now - self._last_contact_at > ISOLATED_SECONDS:
            # After a partition or suspension other nodes may have granted this node's tokens.
            self._ledger.reset(now)
            self._settled.clear()
        self._last_contact_at = now

    def close(self) -> None:
        """Cancel all background tasks."""
        self._tasks.close()
        for task in [*self._borrowing.values(), *self._settling.values()]:
            task.cancel()

    async def admit(self, team: TeamName, quota: Quota, rank: int = 0) -> Token | OverQuota:
        """Return the token for a request, or why it is rejected."""
        now = self._clock.now()
        wanted = self._held.tokens_to_request(team, now)
        token = self._held.take(team, now)
        if token is not None:
            return token
        unused = self._held.take_unused(team, now)
        reply = await self._query_owners(QuotaRequest(team, quota, wanted, unused, rank=rank))
        if reply is None:
            return OverQuota(ResultCode.TEAM_QUOTA_UNKNOWN, OWNER_UNKNOWN_RETRY_SECONDS)
        if reply.tokens < 1:
            return OverQuota(ResultCode.TEAM_OVER_QUOTA, reply.retry_after)
        token = Token(now, rank, reply.is_lent)
        self._held.add(team, int(reply.tokens) - 1, token)
        return token

    def not_run(self, team: TeamName, quota: Quota, token: Token) -> None:
        """Return the token of an admitted request that was not executed."""
        self._held.add_unused(team, token)
        if team not in self._returning:
            self._returning.add(team)
            self._tasks.start(self._return_unused(team, quota))

    async def _return_unused(self, team: TeamName, quota: Quota) -> None:
        await asyncio.sleep(RETURN_DELAY_SECONDS)
        self._returning.discard(team)
        unused = self._held.take_unused(team, self._clock.now())
        if unused:
            await self._query_owners(QuotaRequest(team, quota, 0.0, unused))

    async def answer(self, request: QuotaRequest) -> QuotaReply:
        """Return the reply to a request of another node."""
        if request.taken_over_by:
            return self._hand_over(request)
        if request.is_standing_in:
            self._settled.discard(request.team)
        if request.wanted <= 0 and not request.unused:
            return QuotaReply(0.0)
        if request.is_lending:
            if not self._is_granting(request.team):
                return QuotaReply(0.0)
            share = self._share(request)
            await self._settle(request, share)
            tokens = self._ledger.lend(
                request.team, share, request.wanted, self._clock.now(), rank=request.rank
            )
            return QuotaReply(tokens)
        return await self._grant(request)

    async def _query_owners(self, request: QuotaRequest) -> QuotaReply | None:
        """Query the owner of the quota in this data centre, then its fallbacks."""
        for quota_peer in self._reachable(request.team, self._data_centre):
            if quota_peer.is_self:
                reply: QuotaReply | None = await self._grant(request)
            else:
                reply = await self._query(quota_peer, request)
            if reply is not None and reply.is_authoritative:
                return reply
        return None

    async def _grant(self, request: QuotaRequest) -> QuotaReply:
        """Grant tokens here, unless an owner with a higher rank is reachable."""
        if self._is_isolated():
            return QuotaReply(0.0, is_authoritative=False)
        for quota_peer in self._earlier_owners(request.team):
            reply = await self._query(quota_peer, request)
            if reply is not None and reply.is_authoritative:
                return reply
        team = request.team
        share = self._share(request)
        now = self._clock.now()
        if not self._is_first(team):
            self._begin_as_fallback(team, share, now)
        await self._settle(request, share)
        if not self._is_granting(team):
            # Another node has taken the quota over meanwhile.
            return await self._grant(request)
        now = self._clock.now()
        if request.unused:
            self._ledger.put_back(team, share, request.unused, now)
        if request.wanted <= 0:
            return QuotaReply(0.0)
        self._ledger.record_request(team, share, now, rank=request.rank)
        grant = self._ledger.grant(team, share, request.wanted, now, rank=request.rank)
        for _ in range(MAX_BORROW_ATTEMPTS):
            if grant.count or not await self._borrow(request, share):
                break
            if not self._is_granting(team):
                return await self._grant(request)
            now = self._clock.now()
            grant = self._ledger.grant(team, share, request.wanted, now, rank=request.rank)
        if grant.count:
            return QuotaReply(float(grant.count), is_lent=grant.is_lent)
        self._log_over_quota(team, request.quota)
        return QuotaReply(0.0, self._ledger.retry_after(team, share, self._clock.now()))

    async def _borrow(self, request: QuotaRequest, share: Share) -> bool:
        """Borrow tokens from other data centres; return whether a loan was requested.

        Concurrent requests wait for the same loan.
        """
        key = (request.team, request.rank)
        if self._no_lender_until.get(key, -math.inf) > self._clock.now():
            return False
        task = self._borrowing.get(key)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._borrow_from_others(request, share))
            self._borrowing[key] = task
            task.add_done_callback(lambda _: self._borrowing.pop(key, None))
        await asyncio.shield(task)
        return True

    async def _borrow_from_others(self, request: QuotaRequest, share: Share) -> None:
        loan_size = max(1.0, BORROW_SECONDS * self._bounds.rate(request.quota))
        loan_request = QuotaRequest(
            request.team, request.quota, loan_size, is_lending=True, rank=request.rank
        )
        borrowed = 0.0
        for quota_peer in self._lenders(request.team):
            reply = await self._query(quota_peer, loan_request)
            if reply is None or reply.tokens <= 0:
                continue
            self._ledger.add_borrowed(request.team, share, reply.tokens, self._clock.now())
            borrowed += reply.tokens
            if borrowed >= 1:
                return
        self._no_lender_until[request.team, request.rank] = self._clock.now() + NO_LENDER_SECONDS

    def _earlier_owners(self, team: TeamName) -> list[QuotaPeer]:
        """Return the reachable owners with a higher rank than this node in its data centre."""
        reachable = self._reachable(team, self._data_centre)
        return list(itertools.takewhile(lambda quota_peer: not quota_peer.is_self, reachable))

    def _lenders(self, team: TeamName) -> list[QuotaPeer]:
        """Return the nodes in other data centres to query for a loan."""
        quota_peers: list[QuotaPeer] = []
        for data_centre in self._owners.others(team, self._data_centre)[:MAX_LENDERS]:
            quota_peers.extend(self._reachable(team, data_centre)[:1])
        return quota_peers

    def _reachable(self, team: TeamName, data_centre: DataCentre) -> list[QuotaPeer]:
        ranked = self._owners.ranked(team, data_centre)
        for quota_peer in ranked:
            if self._unreachable_nodes.is_probe_due(quota_peer.peer.node, self._clock.now()):
                self._tasks.start(self._probe(quota_peer, team))
        return [
            quota_peer
            for quota_peer in ranked
            if quota_peer.peer.node not in self._unreachable_nodes
        ]

    async def _probe(self, quota_peer: QuotaPeer, team: TeamName) -> None:
        is_standing_in = not self._is_first(team) and self._is_granting(team)
        request = QuotaRequest(team, Quota(0.0, 0.0), 0.0, is_standing_in=is_standing_in)
        await self._query(quota_peer, request)

    async def _settle(self, request: QuotaRequest, share: Share) -> None:
        """Take over the accounts of the nodes that may have granted a quota in this one's place.

        Concurrent requests wait for the same replies.
        """
        team = request.team
        if team in self._settled:
            return
        task = self._settling.get(team)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._take_over(team, share))
            self._settling[team] = task
            task.add_done_callback(lambda _: self._settling.pop(team, None))
        await asyncio.shield(task)

    async def _take_over(self, team: TeamName, share: Share) -> None:
        request = QuotaRequest(team, share.quota, 0.0, taken_over_by=self._owners.me)
        replies = await asyncio.gather(
            *(self._query_briefly(peer, request) for peer in self._later_owners(team))
        )
        for reply in replies:
            if reply is not None and reply.account is not None:
                self._ledger.take_over(team, share, reply.account, self._clock.now())
        self._settled.add(team)

    def _hand_over(self, request: QuotaRequest) -> QuotaReply:
        """Stop granting a quota, and return its account if it may still matter."""
        now = self._clock.now()
        team = request.team
        self._unreachable_nodes.mark_reachable(request.taken_over_by)
        self._settled.discard(team)
        served_at = self._served_as_fallback_at.pop(team, -math.inf)
        account = self._ledger.hand_over(team, now)
        if now - served_at > self._bounds.window + self._bounds.lease_seconds:
            account = None
        return QuotaReply(0.0, account=account)

    def _later_owners(self, team: TeamName) -> list[QuotaPeer]:
        """Return the reachable owners with a lower rank than this node in its data centre."""
        ranked = self._reachable(team, self._data_centre)
        later = itertools.dropwhile(lambda quota_peer: not quota_peer.is_self, ranked)
        return [quota_peer for quota_peer in later if not quota_peer.is_self]

    async def _query_briefly(
        self, quota_peer: QuotaPeer, request: QuotaRequest
    ) -> QuotaReply | None:
        try:
            async with asyncio.timeout(HAND_OVER_SECONDS):
                return await self._query(quota_peer, request)
        except TimeoutError:
            self._unreachable_nodes.mark_unreachable(quota_peer.peer.node, self._clock.now())
            return None

    async def _query(self, quota_peer: QuotaPeer, request: QuotaRequest) -> QuotaReply | None:
        reply = await self._transport.query_peer(quota_peer, request)
        node = quota_peer.peer.node
        if reply is None:
            self._unreachable_nodes.mark_unreachable(node, self._clock.now())
            return None
        self._unreachable_nodes.mark_reachable(node)
        if quota_peer.peer.data_centre == self._data_centre:
            self.peer_contacted()
        return reply

    def _is_granting(self, team: TeamName) -> bool:
        """Return whether this node currently grants the quota and so knows the tokens left."""
        if self._is_isolated():
            return False
        served_at = self._served_as_fallback_at.get(team, -math.inf)
        return self._is_first(team) or self._clock.now() - served_at <= ISOLATED_SECONDS

    def _is_first(self, team: TeamName) -> bool:
        return any(s.is_self for s in self._owners.ranked(team, self._data_centre)[:1])

    def _begin_as_fallback(self, team: TeamName, share: Share, now: float) -> None:
        """Restart the account if another node granted the quota until now."""
        if now - self._served_as_fallback_at.get(team, -math.inf) > ISOLATED_SECONDS:
            self._ledger.restart(team, share, now)
            self._settled.discard(team)
            self._served_as_fallback_at[team] = now
            for quota_peer in self._owners.ranked(team, self._data_centre):
                if quota_peer.is_self:
                    break
                # An earlier owner that has only paused learns of it before it grants again.
                self._tasks.start(self._probe(quota_peer, team))
        self._served_as_fallback_at[team] = now

    def _is_isolated(self) -> bool:
        if self._owners.size(self._data_centre) <= 1:
            return False
        return self._clock.now() - self._last_contact_at > ISOLATED_SECONDS

    def _share(self, request: QuotaRequest) -> Share:
        part = self._owners.part(request.team, self._data_centre, request.quota, self._bounds)
        return Share(request.quota, part)

    def _log_over_quota(self, team: TeamName, quota: Quota) -> None:
        now = self._clock.now()
        if now - self._logged_at.get(team, -math.inf) >= LOG_INTERVAL_SECONDS:
            self._logged_at[team] = now
            self._log.event("team_over_quota", team=team, per_second=quota.per_second)
