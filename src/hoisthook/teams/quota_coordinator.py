"""Admits a team's requests within its quota, with the nodes that give it out."""

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
from hoisthook.teams.quota_messages import QuotaAnswer
from hoisthook.teams.quota_messages import QuotaQuestion
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

# Nobody lends while all are short, so the next to ask waits; who asks at once gets the same answer.
DRY_SECONDS = 0.1
# Data centres asked for tokens one after the other, however many there are.
MAX_LENDERS = 3
# Requests that are short together share what is borrowed; one that got nothing of it tries again.
MAX_BORROWINGS = 3
# What is borrowed at once: so many seconds' worth of the quota, and no less than a whole token.
BORROWED_SECONDS = 0.1
# A node that has not heard from any other of its data centre for so long may be cut off from the
# one that gives out the same quota there, so it gives out nothing.
ALONE_SECONDS = 1.5
UNKNOWN_RETRY_SECONDS = 0.3
# Tokens of requests refused in the same moment go back together.
GIVING_BACK_SECONDS = 0.02
# A team over its quota gets a line so often at most.
TOLD_SECONDS = 1.0


class QuotaTransport(Protocol):
    """Asks other nodes."""

    async def ask(self, quota_peer: QuotaPeer, question: QuotaQuestion) -> QuotaAnswer | None:
        """Return a node's answer, or None if it gave none."""


class QuotaCoordinator:
    """Gets a token for each request of a team, and gives out those of the teams it owns.

    Each data centre has a part of a team's quota, which one of its nodes gives out. Parts move by
    lending alone: who lends takes the tokens out before the other puts them in, so a cut between
    data centres leaves each side what it has, and an answer that is lost loses tokens rather than
    doubling them.

    Parameters
    ----------
    bounds : QuotaBounds
        What may be admitted.
    data_centre : DataCentre
        Where this node stands.
    transport : QuotaTransport
        Asks others.
    clock : Clock
        Monotonic.
    log : EventLog
        Gets a line for a team over its quota.
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
        self._giving_back: set[TeamName] = set()
        # By team and rank: others may lend for the urgent what they keep from the rest.
        self._borrowing: dict[tuple[TeamName, int], asyncio.Task[None]] = {}
        self._dry_until: dict[tuple[TeamName, int], float] = {}
        self._stood_in_at: dict[TeamName, float] = {}
        self._told_at: dict[TeamName, float] = {}
        self._heard_at = clock.now()

    def knows(self, owners: QuotaOwners) -> None:
        """Take in which nodes there are."""
        self._owners = owners

    def heard(self) -> None:
        """Note that another node of this data centre was heard from."""
        now = self._clock.now()
        if now - self._heard_at > ALONE_SECONDS:
            # Cut off, or paused: others have given out this node's tokens meanwhile.
            self._ledger.distrust(now)
        self._heard_at = now

    def close(self) -> None:
        """Stop what is under way."""
        self._tasks.close()
        for task in self._borrowing.values():
            task.cancel()

    async def admit(self, team: TeamName, quota: Quota, rank: int = 0) -> Token | OverQuota:
        """Return what admits a request, or why it is not admitted."""
        now = self._clock.now()
        wanted = self._held.wanted(team, now)
        token = self._held.take(team, now)
        if token is not None:
            return token
        unused = self._held.take_unused(team, now)
        answer = await self._ask_first(QuotaQuestion(team, quota, wanted, unused, rank=rank))
        if answer is None:
            return OverQuota(ResultCode.TEAM_QUOTA_UNKNOWN, UNKNOWN_RETRY_SECONDS)
        if answer.tokens < 1:
            return OverQuota(ResultCode.TEAM_OVER_QUOTA, answer.retry_after)
        token = Token(now, rank, answer.is_lent)
        self._held.add(team, int(answer.tokens) - 1, token)
        return token

    def not_run(self, team: TeamName, quota: Quota, token: Token) -> None:
        """Give back the token of a request that was admitted and has not run."""
        self._held.unused(team, token)
        if team not in self._giving_back:
            self._giving_back.add(team)
            self._tasks.start(self._give_back(team, quota))

    async def _give_back(self, team: TeamName, quota: Quota) -> None:
        await asyncio.sleep(GIVING_BACK_SECONDS)
        self._giving_back.discard(team)
        unused = self._held.take_unused(team, self._clock.now())
        if unused:
            await self._ask_first(QuotaQuestion(team, quota, 0.0, unused))

    async def answer(self, question: QuotaQuestion) -> QuotaAnswer:
        """Answer another node."""
        if question.wanted <= 0 and not question.unused:
            return QuotaAnswer(0.0)
        if question.is_lending:
            if not self._is_giving_out(question.team):
                return QuotaAnswer(0.0)
            share = self._share(question)
            tokens = self._ledger.lend(
                question.team, share, question.wanted, self._clock.now(), rank=question.rank
            )
            return QuotaAnswer(tokens)
        return await self._give_out(question)

    async def _ask_first(self, question: QuotaQuestion) -> QuotaAnswer | None:
        """Ask who gives out the quota here, and who stands in for it."""
        for quota_peer in self._reachable(question.team, self._data_centre):
            if quota_peer.is_self:
                answer: QuotaAnswer | None = await self._give_out(question)
            else:
                answer = await self._ask(quota_peer, question)
            if answer is not None and answer.knows:
                return answer
        return None

    async def _give_out(self, question: QuotaQuestion) -> QuotaAnswer:
        """Give out tokens here, unless a node is there that goes before this one."""
        if self._is_alone():
            return QuotaAnswer(0.0, knows=False)
        for quota_peer in self._before_me(question.team):
            answer = await self._ask(quota_peer, question)
            if answer is not None and answer.knows:
                return answer
        team = question.team
        share = self._share(question)
        now = self._clock.now()
        if not self._is_first(team):
            self._begin_standing_in(team, share, now)
        if question.unused:
            self._ledger.put_back(team, share, question.unused, now)
        if question.wanted <= 0:
            return QuotaAnswer(0.0)
        self._ledger.asked(team, share, now, rank=question.rank)
        given = self._ledger.take(team, share, question.wanted, now, rank=question.rank)
        for _ in range(MAX_BORROWINGS):
            if given.count or not await self._borrow(question, share):
                break
            now = self._clock.now()
            given = self._ledger.take(team, share, question.wanted, now, rank=question.rank)
        if given.count:
            return QuotaAnswer(float(given.count), is_lent=given.is_lent)
        self._tell(team, question.quota)
        return QuotaAnswer(0.0, self._ledger.retry_after(team, share, self._clock.now()))

    async def _borrow(self, question: QuotaQuestion, share: Share) -> bool:
        """Get tokens from who holds more; return whether any were asked for.

        Those that are short together wait for one and the same answer.
        """
        key = (question.team, question.rank)
        if self._dry_until.get(key, -math.inf) > self._clock.now():
            return False
        task = self._borrowing.get(key)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._borrow_from_others(question, share))
            self._borrowing[key] = task
            task.add_done_callback(lambda _: self._borrowing.pop(key, None))
        await asyncio.shield(task)
        return True

    async def _borrow_from_others(self, question: QuotaQuestion, share: Share) -> None:
        missing = max(1.0, BORROWED_SECONDS * self._bounds.rate(question.quota))
        asked = QuotaQuestion(
            question.team, question.quota, missing, is_lending=True, rank=question.rank
        )
        got = 0.0
        for quota_peer in self._lenders(question.team):
            answer = await self._ask(quota_peer, asked)
            if answer is None or answer.tokens <= 0:
                continue
            self._ledger.borrowed(question.team, share, answer.tokens, self._clock.now())
            got += answer.tokens
            if got >= 1:
                return
        self._dry_until[question.team, question.rank] = self._clock.now() + DRY_SECONDS

    def _before_me(self, team: TeamName) -> list[QuotaPeer]:
        """Return who can be reached and goes before this node in its data centre."""
        reachable = self._reachable(team, self._data_centre)
        return list(itertools.takewhile(lambda quota_peer: not quota_peer.is_self, reachable))

    def _lenders(self, team: TeamName) -> list[QuotaPeer]:
        """Return whom to ask for tokens in other data centres."""
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
        await self._ask(quota_peer, QuotaQuestion(team, Quota(0.0, 0.0), 0.0))

    async def _ask(self, quota_peer: QuotaPeer, question: QuotaQuestion) -> QuotaAnswer | None:
        answer = await self._transport.ask(quota_peer, question)
        node = quota_peer.peer.node
        if answer is None:
            self._unreachable_nodes.silent(node, self._clock.now())
            return None
        self._unreachable_nodes.answered(node)
        if quota_peer.peer.data_centre == self._data_centre:
            self.heard()
        return answer

    def _is_giving_out(self, team: TeamName) -> bool:
        """Return whether this node gives out the quota now, and so knows what is left of it."""
        if self._is_alone():
            return False
        stood_in_at = self._stood_in_at.get(team, -math.inf)
        return self._is_first(team) or self._clock.now() - stood_in_at <= ALONE_SECONDS

    def _is_first(self, team: TeamName) -> bool:
        return any(s.is_self for s in self._owners.ranked(team, self._data_centre)[:1])

    def _begin_standing_in(self, team: TeamName, share: Share, now: float) -> None:
        """Begin anew where another gave out the quota until now."""
        if now - self._stood_in_at.get(team, -math.inf) > ALONE_SECONDS:
            self._ledger.begin(team, share, now)
        self._stood_in_at[team] = now

    def _is_alone(self) -> bool:
        if self._owners.size(self._data_centre) <= 1:
            return False
        return self._clock.now() - self._heard_at > ALONE_SECONDS

    def _share(self, question: QuotaQuestion) -> Share:
        part = self._owners.part(question.team, self._data_centre, question.quota, self._bounds)
        return Share(question.quota, part)

    def _tell(self, team: TeamName, quota: Quota) -> None:
        now = self._clock.now()
        if now - self._told_at.get(team, -math.inf) >= TOLD_SECONDS:
            self._told_at[team] = now
            self._log.event("team_over_quota", team=team, per_second=quota.per_second)
