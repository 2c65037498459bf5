"""Teams' quotas at one node, from the first configuration that has any."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import Address
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.quota_exchange import QuotaExchange
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.settings.mesh_settings import MeshTeamSettings
    from hoisthook.teams.quota_verdict import OverQuota
    from hoisthook.teams.quota_verdict import Token
    from hoisthook.teams.team import Team

QUOTA_PATH = b"/hoisthook/quota"


class TeamQuotas:
    """Admits teams' requests within their quotas; loads what that needs when it is needed.

    A node serves nobody until it is loaded, and most deployments have no quotas.

    Parameters
    ----------
    settings : MeshTeamSettings
        The window and its slack.
    directory : PeerDirectory
        Who is there.
    pool : ClientPool
        Connections to other nodes.
    clock : Clock
        Monotonic.
    log : EventLog
        Gets what the decisions write.
    """

    def __init__(
        self,
        settings: MeshTeamSettings,
        directory: PeerDirectory,
        pool: ClientPool,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._pool = pool
        self._clock = clock
        self._log = log
        self._started: QuotaExchange | None = None

    async def admit(self, team: Team, rank: int) -> Token | OverQuota | None:
        """Return what admits a request, or why it is not admitted; None where any is."""
        if team.quota is None:
            return None
        return await self._exchange().admit(team.name, team.quota, rank)

    def not_run(self, team: Team, token: Token) -> None:
        """Take in that a request that was admitted has not run."""
        if team.quota is not None:
            self._exchange().not_run(team.name, team.quota, token)

    async def serve(self, exchange: ServerExchange) -> None:
        """Answer another node's question."""
        await self._exchange().serve(exchange)

    def contacted(self, address: Address) -> None:
        """Note that another node was heard from."""
        if self._started is not None:
            self._started.contacted(address)

    def start(self) -> None:
        """Begin to save up tokens; nothing if that has begun."""
        self._exchange()

    def close(self) -> None:
        """Stop what is under way."""
        if self._started is not None:
            self._started.close()

    def _exchange(self) -> QuotaExchange:
        if self._started is None:
            # Loading these takes a tenth of a node's start.
            from hoisthook.mesh.quota_exchange import QuotaExchange
            from hoisthook.teams.quota_bounds import QuotaBounds

            bounds = QuotaBounds(
                self._settings.quota_window_seconds,
                self._settings.quota_over_share,
                self._settings.quota_extra,
            )
            self._started = QuotaExchange(
                bounds, self._directory, self._pool, self._clock, self._log
            )
        return self._started
