"""A node that routes requests: creates, starts and closes its components."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import TYPE_CHECKING

from hoisthook.adapter.http.byte_budget import ByteBudget
from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.http.connection_limits import connection_limits
from hoisthook.adapter.http.node_connections import IDENTITY_PATH
from hoisthook.adapter.http.node_connections import answer_identity
from hoisthook.adapter.loop_stalls import LoopStalls
from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.identity import parse_address
from hoisthook.local_backend.link_settings import LinkSettings
from hoisthook.local_backend.repeat_limit import RepeatLimit
from hoisthook.measure.measure_budget import MeasureBudget
from hoisthook.membership.store_era import StoreEra
from hoisthook.mesh.backend_link import BackendLink
from hoisthook.mesh.configuration_watch import ConfigurationWatch
from hoisthook.mesh.crash_protection import CrashProtection
from hoisthook.mesh.hop_header import HOP
from hoisthook.mesh.hop_server import HopServer
from hoisthook.mesh.ingress import Ingress
from hoisthook.mesh.node_status import NodeStatus
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.peer_choice import ChoiceSettings
from hoisthook.mesh.peer_choice import PeerChoice
from hoisthook.mesh.peer_directory import PeerDirectory
from hoisthook.mesh.peer_hop import PeerHop
from hoisthook.mesh.peer_sync import SYNC_PATH
from hoisthook.mesh.peer_sync import PeerSync
from hoisthook.mesh.reader_exchange import ReaderExchange
from hoisthook.mesh.registration import Registration
from hoisthook.mesh.routed_dispatcher import RoutedDispatcher
from hoisthook.mesh.store_readers import StoreReaders
from hoisthook.mesh.team_quotas import QUOTA_PATH
from hoisthook.mesh.team_quotas import TeamQuotas
from hoisthook.mesh.withdrawal_records import WithdrawalRecords
from hoisthook.retry.arrival_budget import RetrySettings
from hoisthook.routing.link_pacer import LinkPacer
from hoisthook.teams.key_lease import KeyLease
from hoisthook.traffic.configuration_age import ConfigurationAge
from hoisthook.traffic.configuration_exchange import ConfigurationExchange
from hoisthook.traffic.configuration_holder import ConfigurationHolder
from hoisthook.traffic.evacuations import Evacuations

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import Address
    from hoisthook.port.backend_wire import BackendWire
    from hoisthook.port.caller_wire import CallerWire
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordStore
    from hoisthook.settings.mesh_settings import MeshSettings
    from hoisthook.traffic.configuration_exchange import ConfigurationDecoder
    from hoisthook.traffic.traffic_configuration import TrafficConfiguration

# Shorter than the few seconds after which backend servers close idle connections.
BACKEND_IDLE_SECONDS = 4.0
# Shorter than the idle timeout of the other node's server, see `CallServer`.
PEER_IDLE_SECONDS = 30.0
HOUSEKEEPING_SECONDS = 2.0
# Share of the memory for what callers, backend server, store and other nodes send and has not been
# sent on. The rest is for the process itself and what the allocator takes beyond that.
RECEIVED_MEMORY_SHARE = 0.4
BYTES_PER_MB = 1_000_000
# Pause before a failed background task is restarted.
RESTART_SECONDS = 0.5
# Time for which callers continue to send after readiness is withdrawn: two readiness checks one
# second apart.
LINGER_SECONDS = 2.6
# Part of this time in which the backend server still admits requests. Other nodes notice the
# shutdown with the next request that they send here, and connections close 0.7 s later.
ADMIT_WHILE_LEAVING_SECONDS = 2.2
# Part of the grace period that is left for the end of the process itself.
CLOSE_MARGIN_SECONDS = 0.5


def make_budget(settings: MeshSettings) -> ByteBudget:
    """Return the budget of a node for what it receives."""
    return ByteBudget(int(RECEIVED_MEMORY_SHARE * settings.node.memory_mb * BYTES_PER_MB))


class MeshNode:
    """The node process of one backend server on the platform.

    Parameters
    ----------
    settings : MeshSettings
        Validated settings.
    caller_wire : CallerWire
        Protocol of the callers.
    backend_wire : BackendWire
        Protocol of the backend server.
    store : RecordStore
        The platform's store.
    decode : ConfigurationDecoder
        Decodes the configuration that operators publish.
    clock : Clock
        Monotonic clock of the event loop.
    log : EventLog
        Receives decisions and events.
    budget : ByteBudget, optional
        For what the process receives, shared with the store; see `make_budget`.
    """

    def __init__(
        self,
        settings: MeshSettings,
        *,
        caller_wire: CallerWire,
        backend_wire: BackendWire,
        store: RecordStore,
        decode: ConfigurationDecoder,
        clock: Clock,
        log: EventLog,
        budget: ByteBudget | None = None,
    ) -> None:
        self.settings = settings
        self._log = log
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self._randomness = random.Random(secrets.randbits(64))
        self._stalls = LoopStalls(log)
        self.budget = budget or make_budget(settings)
        self._backend_pool = ClientPool(idle_limit=BACKEND_IDLE_SECONDS, budget=self.budget)
        self._peer_pool = ClientPool(idle_limit=PEER_IDLE_SECONDS, budget=self.budget)
        self.stopping = False
        self.configuration = ConfigurationHolder(log)
        self.configuration.on_change(self._apply_configuration)
        self.evacuations = Evacuations(log)
        self.evacuations.on_change(self._apply_evacuations)
        service = ServiceName(settings.node.service)
        self.crashes = CrashProtection(service, clock, log)
        self.directory = PeerDirectory(self._own_peer(service), log)
        retry = RetrySettings(
            settings.retry.ratio, settings.retry.window_seconds, settings.retry.extra
        )
        self.repeats = RepeatLimit(self.directory.me.node, self.directory, retry, clock, log)
        self.link = BackendLink(
            parse_address(settings.backend_server.address),
            wire=backend_wire,
            pool=self._backend_pool,
            clock=clock,
            budget=MeasureBudget(settings.measure.per_second, clock.now()),
            settings=LinkSettings(
                settings.backend_server.usable_share,
                settings.cold.rate_factor,
                settings.cold.extra,
                settings.backend_server.reuse_after_seconds,
            ),
            crashes=self.crashes.crash_monitor,
            repeats=self.repeats,
            log=log,
        )
        self.era = StoreEra(log)
        self.withdrawals = WithdrawalRecords(
            settings.store.nodes_topic,
            self.directory.me.node,
            store,
            self.link.observed_backend,
            clock,
            log,
        )
        self.withdrawals.on_read(self.link.history_known)
        self.era.on_change(self.withdrawals.rewrite)
        self.key_lease = KeyLease(settings.keys.revocation_seconds)
        self._configuration_age = ConfigurationAge()
        self.sync = PeerSync(
            self.directory,
            self.configuration,
            self.evacuations,
            ConfigurationExchange(self.configuration, decode, log),
            self.crashes.evidence,
            self.era,
            self.key_lease,
            self._configuration_age,
            self._peer_pool,
            clock,
            self._randomness,
            log,
        )
        self.crashes.notify_through(self.directory, self.sync)
        self._quotas = TeamQuotas(settings.teams, self.directory, self._peer_pool, clock, log)
        self.sync.on_contact(self._quotas.contacted)
        readers = StoreReaders(self.directory, clock, settings.store.readers_per_data_centre)
        self._reader_exchange = ReaderExchange(readers, self.sync, self._randomness)
        self._registration = Registration(
            settings.store.nodes_topic,
            self.directory,
            store,
            self.sync,
            readers,
            self.crashes.persist_in(store, settings.store.nodes_topic, self.era),
            self.withdrawals,
            self.link,
            self.era,
            clock,
            self._randomness,
            log,
            first_start=settings.node.first_start,
        )
        self._watch = ConfigurationWatch(
            settings.store.configuration_topic,
            settings.store.configuration_key,
            store=store,
            decode=decode,
            holder=self.configuration,
            evacuations=self.evacuations,
            evacuation_prefix=settings.store.evacuation_prefix,
            era=self.era,
            lease=self.key_lease,
            age=self._configuration_age,
            sync=self.sync,
            readers=readers,
            peers_known=self.directory.peers_known,
            apply_seconds=settings.store.apply_seconds,
            clock=clock,
            randomness=self._randomness,
            log=log,
        )
        self._hop = PeerHop(
            self._peer_pool, self.link, self.directory, self.sync, backend_wire, clock, log
        )
        self._link_pacer = LinkPacer(settings.node.link_mbps)
        self._ingress = self._make_ingress(service, caller_wire)
        self._hop_server = HopServer(service, self.link, self.sync, self._link_pacer, clock, log)
        self.connection_limits = connection_limits(settings.node.max_descriptors)
        self._callers = CallServer(
            parse_address(settings.listen.callers),
            self._ingress.handle,
            budget=self.budget,
            max_connections=self.connection_limits.callers,
        )
        self._peers = CallServer(
            parse_address(settings.listen.peers),
            self._serve_peer,
            auto_continue=False,
            budget=self.budget,
            max_connections=self.connection_limits.peers,
        )

    @property
    def callers_address(self) -> Address:
        """Return the address that accepts requests of callers."""
        return self._callers.address

    @property
    def peers_address(self) -> Address:
        """Return the address that accepts requests of other nodes."""
        return self._peers.address

    @property
    def ready(self) -> bool:
        """Return whether the node accepts requests of callers."""
        return not self.stopping and self.configuration.current is not None

    async def start(self) -> None:
        """Open the listening sockets and start the background tasks.

        Raises
        ------
        HoisthookError
            With ``PORT_UNAVAILABLE`` if an address cannot be opened.
        """
        self._stalls.start()
        await self._callers.start()
        await self._peers.start()
        self.sync.peer_port = self._peers.address[1]
        self._run(
            self._watch.run,
            self._registration.run,
            self.sync.run,
            self._reader_exchange.run,
            self._housekeep,
        )
        self._log.event(
            "started", service=self.settings.node.service, data_centre=self.directory.me.data_centre
        )

    def abort(self) -> None:
        """Close all sockets and connections at once, as a crash would."""
        for task in self._tasks:
            task.cancel()
        self._callers.abort()
        self._peers.abort()
        self._close_components()

    async def close(self) -> bool:
        """Shut down gracefully: withdraw readiness, then stop admission, then close connections.

        For the first part of the shutdown, the backend server still admits requests that no other
        node can run. If each node rejected all requests from the signal on, the backend servers of
        a service would be idle while its nodes are replaced one after another.

        Returns
        -------
        bool
            Whether every request in progress completed within the grace period.
        """
        self._log.event("stopping")
        self.stopping = True
        self._callers.stopping = True
        self._hop.leaving = True
        self.link.leaving = True
        await asyncio.sleep(ADMIT_WHILE_LEAVING_SECONDS)
        self.link.stopping = True
        self.link.gate.refuse_waiting()
        await asyncio.sleep(LINGER_SECONDS - ADMIT_WHILE_LEAVING_SECONDS)
        remaining = self.settings.shutdown.grace_seconds - LINGER_SECONDS - CLOSE_MARGIN_SECONDS
        are_complete = await asyncio.gather(
            self._callers.close(remaining), self._peers.close(remaining)
        )
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._close_components()
        self._log.event("stopped", whole=all(are_complete))
        return all(are_complete)

    def _close_components(self) -> None:
        self._stalls.close()
        self.crashes.close()
        self._quotas.close()
        self._registration.close()
        self.withdrawals.close()
        self._hop.close()
        self.link.close()
        self._backend_pool.close()
        self._peer_pool.close()

    def _own_peer(self, service: ServiceName) -> Peer:
        node = self.settings.node
        return Peer(
            node=NodeId(node.id),
            address=self.settings.listen.peers,
            service=service,
            data_centre=DataCentre(node.data_centre),
            link_mbps=node.link_mbps,
        )

    def status(self) -> NodeStatus:
        """Return a snapshot of the node's state."""
        load = self.link.load()
        return NodeStatus(
            ready=self.ready,
            backend_state=self.link.observed_backend.state.value,
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
            slowdown=load.slowdown,
            configuration=self.configuration.version,
            peers=len(self.directory) - 1,
            store_away=self.sync.store_away,
            backend_connections=self._backend_pool.opened,
            evacuated=len(self.evacuations.data_centres),
            cold=self.link.gate.cold.is_cold(self._clock.now()),
            refused_work=self.crashes.evidence.refused,
            repeats=self.repeats.status(),
            stalled_seconds=self._stalls.seconds,
        )

    def _make_ingress(self, service: ServiceName, wire: CallerWire) -> Ingress:
        choice = PeerChoice(
            self.directory,
            ChoiceSettings(self.settings.routing.data_centre_cost),
            self.evacuations,
            self._randomness,
        )
        dispatcher = RoutedDispatcher(choice, self._hop, self._clock)
        return Ingress(
            service,
            wire,
            self.configuration,
            dispatcher,
            self.link.running,
            self._configuration_age,
            self.key_lease,
            self._quotas,
            self._link_pacer,
            self._clock,
            self._log,
        )

    def _apply_configuration(self, configuration: TrafficConfiguration) -> None:
        service = ServiceName(self.settings.node.service)
        self.link.apply_traits(configuration.traits_by_service.get(service))
        if any(team.quota is not None for team in configuration.teams.by_name.values()):
            self._quotas.start()
        limits = configuration.limits
        if limits is not None:
            self._callers.head_timeout = limits.head_timeout
            self._callers.idle_timeout = limits.idle_timeout
            self._callers.max_head_bytes = limits.max_head_bytes

    def _apply_evacuations(self) -> None:
        self.link.evacuate(evacuated=self.directory.me.data_centre in self.evacuations)

    async def _serve_peer(self, exchange: ServerExchange) -> None:
        if exchange.head.get(HOP) is not None:
            # A forwarded request: its target is the caller's and may be any of the paths below.
            await self._hop_server.handle(exchange)
        elif exchange.head.target == IDENTITY_PATH:
            answer_identity(exchange, self.directory.me.node)
        elif exchange.head.target == SYNC_PATH:
            await self.sync.answer(exchange)
        elif exchange.head.target == QUOTA_PATH:
            await self._quotas.serve(exchange)
        else:
            await self._hop_server.handle(exchange)

    async def _housekeep(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self._backend_pool.drop_idle()
            self._peer_pool.drop_idle()
            self.repeats.refresh()

    def _run(self, *runs: Callable[[], Awaitable[None]]) -> None:
        loop = asyncio.get_running_loop()
        self._tasks.extend(loop.create_task(self._keep_running(run)) for run in runs)

    async def _keep_running(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a background task until the node closes; log a failure and restart the task."""
        while True:
            try:
                await run()
            except Exception as error:
                self._log.event("task_failed", task=run.__qualname__, reason=repr(error))
            await asyncio.sleep(RESTART_SECONDS)
