"""Carries questions about quotas between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from hoisthook.exceptions import UnreachableError
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.mesh.peer_message import log_unreadable
from hoisthook.mesh.peer_message import read_message
from hoisthook.mesh.team_quotas import QUOTA_PATH
from hoisthook.node.call import Lost
from hoisthook.teams.quota_coordinator import QuotaCoordinator
from hoisthook.teams.quota_messages import QuotaReply
from hoisthook.teams.quota_messages import QuotaRequest
from hoisthook.teams.quota_owners import QuotaOwners

if TYPE_CHECKING:
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import Address
    from hoisthook.identity import TeamName
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.teams.quota_bounds import QuotaBounds
    from hoisthook.teams.quota_owners import QuotaPeer
    from hoisthook.teams.quota_verdict import OverQuota
    from hoisthook.teams.quota_verdict import Token
    from hoisthook.teams.team import Quota

# A request waits for the answer; another node is asked in place of one that takes longer.
CONNECT_SECONDS = 0.1
ANSWER_SECONDS = 0.15
_QUESTION = msgspec.msgpack.Decoder(QuotaRequest)
_ANSWER = msgspec.msgpack.Decoder(QuotaReply)


class QuotaExchange:
    """A `hoisthook.teams.quota_coordinator.QuotaTransport`, and the desk that it serves.

    Parameters
    ----------
    bounds : QuotaBounds
        What may be admitted.
    directory : PeerDirectory
        Who is there.
    pool : ClientPool
        Connections to other nodes.
    clock : Clock
        Monotonic.
    log : EventLog
        Gets a line for what cannot be read.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        directory: PeerDirectory,
        pool: ClientPool,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._log = log
        self._near: frozenset[Address] = frozenset()
        self._known_digest: int | None = None
        self.quota_coordinator = QuotaCoordinator(
            bounds, directory.me.data_centre, self, clock, log
        )

    def refresh(self) -> None:
        """Take in who is there, if that has changed."""
        directory = self._directory
        if self._known_digest == directory.digest:
            return
        self._known_digest = directory.digest
        self._near = frozenset(v.address for v in directory.others() if v.same_data_centre)
        self.quota_coordinator.set_owners(QuotaOwners(directory.views()))

    def close(self) -> None:
        """Stop what is under way."""
        self.quota_coordinator.close()

    async def admit(self, team: TeamName, quota: Quota, rank: int) -> Token | OverQuota:
        """Return what admits a request of a team, or why it is not admitted."""
        self.refresh()
        return await self.quota_coordinator.admit(team, quota, rank)

    def not_run(self, team: TeamName, quota: Quota, token: Token) -> None:
        """Take in that a request that was admitted has not run."""
        self.quota_coordinator.not_run(team, quota, token)

    def contacted(self, address: Address) -> None:
        """Note that another node was heard from."""
        self.refresh()
        if address in self._near:
            self.quota_coordinator.peer_contacted()

    async def query_peer(self, quota_peer: QuotaPeer, question: QuotaRequest) -> QuotaReply | None:
        """Return a node's answer, or None if it gave none."""
        try:
            connection = await self._pool.acquire(quota_peer.address, CONNECT_SECONDS)
        except UnreachableError as error:
            self._log.event("quota_silent", peer=quota_peer.peer.node, reason=str(error))
            return None
        answered = await exchange_buffered(
            connection,
            b"POST",
            QUOTA_PATH,
            [(b"host", quota_peer.address[0].encode())],
            msgspec.msgpack.encode(question),
            timeout=ANSWER_SECONDS,
        )
        if isinstance(answered, Lost):
            self._log.event("quota_silent", peer=quota_peer.peer.node, reason=answered.code.name)
            return None
        self._pool.keep(quota_peer.address, connection)
        return self._read(answered[1])

    async def serve(self, exchange: ServerExchange) -> None:
        """Answer another node's question."""
        asked = await read_message(exchange, _QUESTION.decode, "quota question", self._log)
        if asked is None:
            return
        self.refresh()
        answer = await self.quota_coordinator.answer(asked)
        exchange.respond(200, [], msgspec.msgpack.encode(answer))

    def _read(self, data: bytes) -> QuotaReply | None:
        try:
            return _ANSWER.decode(data)
        except msgspec.DecodeError as error:
            log_unreadable(self._log, "quota answer", str(error))
            return None
