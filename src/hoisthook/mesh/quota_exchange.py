"""Transport of quota requests between nodes."""

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

# Timeouts are short because a caller's request waits for the answer; after a timeout another node
# is asked.
CONNECT_SECONDS = 0.1
ANSWER_SECONDS = 0.15
_REQUEST_DECODER = msgspec.msgpack.Decoder(QuotaRequest)
_ANSWER_DECODER = msgspec.msgpack.Decoder(QuotaReply)


class QuotaExchange:
    """A `hoisthook.teams.quota_coordinator.QuotaTransport` and the coordinator that uses it.

    Parameters
    ----------
    bounds : QuotaBounds
        Bounds on the requests that are admitted.
    directory : PeerDirectory
        Known nodes.
    pool : ClientPool
        Connections to other nodes.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives events for nodes that do not answer and messages that cannot be decoded.
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
        self._local_addresses: frozenset[Address] = frozenset()
        self._applied_digest: int | None = None
        self.quota_coordinator = QuotaCoordinator(
            bounds, directory.me.data_centre, self, clock, log
        )

    def refresh(self) -> None:
        """Pass the known nodes to the coordinator if they have changed."""
        directory = self._directory
        if self._applied_digest == directory.digest:
            return
        self._applied_digest = directory.digest
        self._local_addresses = frozenset(
            v.address for v in directory.others() if v.same_data_centre
        )
        self.quota_coordinator.set_owners(QuotaOwners(directory.views()))

    def close(self) -> None:
        """Cancel quota requests in progress."""
        self.quota_coordinator.close()

    async def admit(self, team: TeamName, quota: Quota, rank: int) -> Token | OverQuota:
        """Return a token for a request of a team, or the reason for its rejection."""
        self.refresh()
        return await self.quota_coordinator.admit(team, quota, rank)

    def not_run(self, team: TeamName, quota: Quota, token: Token) -> None:
        """Return the token of an admitted request that was not executed."""
        self.quota_coordinator.not_run(team, quota, token)

    def contacted(self, address: Address) -> None:
        """Record that a message from another node arrived."""
        self.refresh()
        if address in self._local_addresses:
            self.quota_coordinator.peer_contacted()

    async def query_peer(self, quota_peer: QuotaPeer, question: QuotaRequest) -> QuotaReply | None:
        """Send a quota request; return the answer, or None if there is none."""
        try:
            connection = await self._pool.acquire(quota_peer.address, CONNECT_SECONDS)
        except UnreachableError as error:
            self._log.event("quota_silent", peer=quota_peer.peer.node, reason=str(error))
            return None
        exchange_result = await exchange_buffered(
            connection,
            b"POST",
            QUOTA_PATH,
            [(b"host", quota_peer.address[0].encode())],
            msgspec.msgpack.encode(question),
            timeout=ANSWER_SECONDS,
        )
        if isinstance(exchange_result, Lost):
            self._log.event(
                "quota_silent", peer=quota_peer.peer.node, reason=exchange_result.code.name
            )
            return None
        self._pool.keep(quota_peer.address, connection)
        return self._decode_answer(exchange_result[1])

    async def serve(self, exchange: ServerExchange) -> None:
        """Answer another node's quota request."""
        message = await read_message(exchange, _REQUEST_DECODER.decode, "quota question", self._log)
        if message is None:
            return
        self.refresh()
        answer = await self.quota_coordinator.answer(message)
        exchange.respond(200, [], msgspec.msgpack.encode(answer))

    def _decode_answer(self, data: bytes) -> QuotaReply | None:
        try:
            return _ANSWER_DECODER.decode(data)
        except msgspec.DecodeError as error:
            log_unreadable(self._log, "quota answer", str(error))
            return None
