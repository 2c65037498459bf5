"""Teams' quotas at one node, loaded with the first configuration that defines any."""

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
    """Admits teams' requests within their quotas; imports the implementation on first use.

    Imports delay the start of a node, and most deployments have no quotas.

    Parameters
    ----------
    settings : MeshTeamSettings
        Quota window and the tolerated excess.
    directory : PeerDirectory
        Known nodes.
    pool : ClientPool
        Connections to other nodes.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives the events of quota decisions.
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
        self._loaded_exchange: QuotaExchange | None = None

    async def admit(self, team: Team, rank: int) -> Token | OverQuota | None:
        """Return a token, or the reason for a rejection; None if the team has no quota."""
        if team.quota is None:
            return None
        return await self._load_exchange().admit(team.name, team.quota, rank)

    def not_run(self, team: Team, token: Token) -> None:
        """Return the token of an admitted request that was not executed."""
        if team.quota is not None:
            self._load_exchange().not_run(team.name, team.quota, token)

    async def serve(self, exchange: ServerExchange) -> None:
        """Answer another node's quota request."""
        await self._load_exchange().serve(exchange)

    def contacted(self, address: Address) -> None:
        """Record that a message from another node arrived."""
        if self._loaded_exchange is not None:
            self._loaded_exchange.contacted(address)

    def start(self) -> None:
        """Start to accrue tokens; does nothing if already started."""
        self._load_exchange()

    def close(self) -> None:
        """Cancel quota requests in progress."""
        if self._loaded_exchange is not None:
            self._loaded_exchange.close()

    def _load_exchange(self) -> QuotaExchange:
        if self._loaded_exchange is None:
            # Importing these takes a tenth of a node's start.
            from hoisthook.mesh.quota_exchange import QuotaExchange
            from hoisthook.teams.quota_bounds import QuotaBounds

            bounds = QuotaBounds(
                self._settings.quota_window_seconds,
                self._settings.quota_over_share,
                self._settings.quota_extra,
            )
            self._loaded_exchange = QuotaExchange(
                bounds, self._directory, self._pool, self._clock, self._log
            )
        return self._loaded_exchange
