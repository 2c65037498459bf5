"""A node: creates its components, connects them, and starts and stops them."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from typing import TYPE_CHECKING

from hoisthook.adapter.control_app import make_announcement_app
from hoisthook.adapter.control_app import make_peer_app
from hoisthook.adapter.http.asgi_bridge import serve_asgi
from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.http.node_connections import IDENTITY_PATH
from hoisthook.adapter.http.node_connections import NodeConnections
from hoisthook.adapter.http.node_connections import answer_identity
from hoisthook.adapter.operator_service import OperatorService
from hoisthook.admission.concurrency_share import ConcurrencyShare
from hoisthook.background_tasks import BackgroundTasks
from hoisthook.configuration.configuration_follower import ConfigurationFollower
from hoisthook.configuration.configuration_state import ConfigurationState
from hoisthook.configuration.configuration_writer import ConfigurationWriter
from hoisthook.idempotency.key_register import KeyRegister
from hoisthook.identity import Incarnation
from hoisthook.identity import NodeId
from hoisthook.identity import format_address
from hoisthook.identity import parse_address
from hoisthook.measure.measure_budget import MeasureBudget
from hoisthook.measure.measurer import Measurer
from hoisthook.membership.gossip import Gossip
from hoisthook.membership.member import Member
from hoisthook.membership.member_table import MemberTable
from hoisthook.membership.pause_guard import TICK_SECONDS
from hoisthook.membership.pause_guard import PauseGuard
from hoisthook.membership.reader_choice import is_reader
from hoisthook.node import wire
from hoisthook.node.crash_guard import CrashGuard
from hoisthook.node.dispatcher import Dispatcher
from hoisthook.node.hop_client import HopClient
from hoisthook.node.hop_server import HopServer
from hoisthook.node.idempotency_handler import IdempotencyHandler
from hoisthook.node.ingress import Ingress
from hoisthook.node.local_backend import LocalBackend
from hoisthook.node.node_metrics import NodeMetrics
from hoisthook.node.node_report import NodeReport
from hoisthook.node.older_nodes import OlderKeyedNodes
from hoisthook.node.operators_endpoint import OperatorsEndpoint
from hoisthook.node.own_record import OwnRecord
from hoisthook.node.reply import refuse
from hoisthook.result_code import Ran
from hoisthook.result_code import ResultCode
from hoisthook.routing.policy import PolicyName
from hoisthook.routing.policy import make_policy
from hoisthook.routing.router import Router

if TYPE_CHECKING:
    from hoisthook.adapter.control_app import Announcement
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.adapter.json_log import JsonDecisionLog
    from hoisthook.adapter.statsd_metrics import StatsdMetrics
    from hoisthook.identity import Address
    from hoisthook.port.clock import Clock
    from hoisthook.port.peer_transport import PeerTransport
    from hoisthook.port.platform_log import PlatformLog
    from hoisthook.settings.node_settings import NodeSettings

LEAVE_MESSAGE_SECONDS = 0.5
CANCEL_RETRY_SECONDS = 0.1
HOUSEKEEPING_SECONDS = 5.0


class Node:
    """The composition root of one node process, which serves one local backend server.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    log : PlatformLog
        The platform's log.
    peers : PeerTransport
        Sends messages to other nodes.
    decisions : JsonDecisionLog
        Receives decisions and events.
    clock : Clock
        Monotonic; the event loop's clock.
    metrics : StatsdMetrics, optional
        Receives the metrics.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        log: PlatformLog,
        peers: PeerTransport,
        decisions: JsonDecisionLog,
        clock: Clock,
        metrics: StatsdMetrics | None = None,
    ) -> None:
        self.settings = settings
        self._log = log
        self._peers = peers
        self._decisions = decisions
        self._clock = clock
        self._statsd = metrics
        self._randomness = random.Random(secrets.randbits(64))
        self.incarnation = Incarnation(secrets.token_hex(8))
        self._tasks: list[asyncio.Task[None]] = []
        self._announcing = BackgroundTasks()
        self.state = ConfigurationState()
        self.guard = PauseGuard(clock.now())
        self._share = ConcurrencyShare(settings.node.id)
        self._hop_pool = ClientPool()
        self._backend_pool = ClientPool()
        self._make_servers()
        self._make_membership()
        self._make_configuration()
        self._make_call_path()

    @property
    def callers_address(self) -> Address:
        """Return the address at which the node serves callers."""
        return self._callers.address

    @property
    def peers_address(self) -> Address:
        """Return the address at which the node serves other nodes."""
        return self._peer_server.address

    @property
    def announcements_address(self) -> Address:
        """Return the address at which the local backend server announces itself."""
        return self._announcements.address

    @property
    def operators_address(self) -> Address:
        """Return the address at which the node serves operators."""
        return self._operators.address

    async def start(self) -> None:
        """Open all sockets, then start the gossip and follow the log.

        Raises
        ------
        HoisthookError
            With ``PORT_UNAVAILABLE`` if an address cannot be opened.
        """
        await self._callers.start()
        await self._peer_server.start()
        await self._announcements.start()
        await self._operators.start()
        self.table.update_me(self._clock.now(), address=format_address(self.peers_address))
        loop = asyncio.get_running_loop()
        coroutines = [
            self._tick_forever(),
            self._housekeep_forever(),
            self._publish_forever(),
            self.gossip.run(),
            self.follower.run(),
            self._measurer.run(),
        ]
        self._tasks = [loop.create_task(coroutine) for coroutine in coroutines]
        self._decisions.event(
            "started",
            incarnation=self.incarnation,
            callers=format_address(self.callers_address),
            peers=format_address(self.peers_address),
            announcements=format_address(self.announcements_address),
            operators=format_address(self.operators_address),
        )

    async def close(self) -> bool:
        """Send the leave message, await the requests in progress, and close everything.

        Returns
        -------
        bool
            Whether every request in progress finished before the drain timeout.
        """
        await self.gossip.leave()
        await asyncio.sleep(LEAVE_MESSAGE_SECONDS)
        self._ingress.stopping = True
        self._hop_server.stopping = True
        timeout = self.settings.shutdown.drain_seconds
        finished = await asyncio.gather(
            self._callers.close(timeout), self._peer_server.close(timeout)
        )
        await self._announcements.close(1.0)
        await self._operators.close()
        await self._cancel_tasks()
        self._hop_pool.close()
        self._backend_pool.close()
        await self._peers.close()
        await self._log.close()
        self._publish()
        self._decisions.event("stopped", whole=all(finished))
        if self._statsd is not None:
            self._statsd.close()
        return all(finished)

    async def _cancel_tasks(self) -> None:
        """Cancel tasks until all end: a client library may turn a cancellation into an error."""
        running = set(self._tasks)
        self._crashes.close()
        self._announcing.close()
        while running:
            for task in running:
                task.cancel()
            _, running = await asyncio.wait(running, timeout=CANCEL_RETRY_SECONDS)

    async def abort(self) -> None:
        """Close everything at once without draining, as a crash would."""
        for task in self._tasks:
            task.cancel()
        self._crashes.close()
        self._announcing.close()
        self._own_record.close()
        for server in (self._callers, self._peer_server, self._announcements):
            server.abort()
        self._hop_pool.close()
        self._backend_pool.close()
        await self._operators.close()

    def _make_servers(self) -> None:
        listen = self.settings.listen
        self._callers = CallServer(parse_address(listen.callers), self._serve_caller)
        self._peer_server = CallServer(parse_address(listen.peers), self._serve_peer)
        self._announcements = CallServer(
            parse_address(listen.announcements), self._serve_announcement
        )

    def _make_membership(self) -> None:
        me = Member(
            node=self.settings.node.id,
            incarnation=self.incarnation,
            # Wall-clock time only orders a node's own restarts. When the node receives a
            # copy of its record with a higher version, it raises its own version above it.
            version=time.time_ns() // 1_000_000,
            address=self.settings.listen.peers,
            data_centre=self.settings.node.data_centre,
        )
        self.table = MemberTable(me, self._randomness)
        self.gossip = Gossip(
            self.table,
            self._peers,
            self._clock,
            self._randomness,
            seeds=[parse_address(seed) for seed in self.settings.peers.seeds],
            interval=self.settings.peers.interval_seconds,
        )
        self.gossip.on_contact = self.guard.contacted
        self.table.on_status = self._member_changed

    def _make_configuration(self) -> None:
        self.follower = ConfigurationFollower(
            self.state,
            self._log,
            self._peers,
            self._clock,
            self._randomness,
            retention=self.settings.log.retention_seconds,
        )
        readers = self.settings.log.readers_per_data_centre
        self.follower.is_reader = lambda: is_reader(self.table, readers)
        self.follower.on_contact = self.guard.contacted
        self.follower.on_change = self._configuration_changed
        self.gossip.configuration_offset = lambda: self.state.offset
        self.gossip.on_peer_offset = self.follower.fetch_from_peer
        self._configuration_writer = ConfigurationWriter(self.state, self.follower, self._log)

    def _make_call_path(self) -> None:
        routing = self.settings.routing
        is_product = routing.policy is PolicyName.HOISTHOOK
        self._crashes = CrashGuard(
            self._backend_pool, self.incarnation, self._clock, self._decisions
        )
        self._crashes.on_crash_attributed(lambda: self._announcing.start(self.gossip.announce()))
        self.gossip.crashes = self._crashes.evidence
        self.local_backend = LocalBackend(
            self._backend_pool,
            self._crashes,
            self._clock,
            self._randomness,
            admission=routing.admission,
        )
        self.local_backend.share_of = self._share.of
        self._measurer = Measurer(
            self.local_backend,
            self._backend_pool,
            MeasureBudget(0.0, self._clock.now()),
            self._clock,
        )
        self._router = Router(self.table, make_policy(routing.policy, self._randomness))
        connections = NodeConnections(self._hop_pool, OlderKeyedNodes(self.incarnation))
        client = HopClient(
            self._hop_pool, connections, self.local_backend, self._clock, self.incarnation
        )
        self._dispatcher = Dispatcher(
            self._router, client, self.table, self._clock, hedging=is_product
        )
        node = NodeId(self.settings.node.id)
        self.register = KeyRegister(node, self.incarnation, self._clock, self._randomness)
        self._idempotency_handler = IdempotencyHandler(
            self.register, self.state, self.table, self._hop_pool, connections, self._clock
        )
        self.metrics = NodeMetrics(self._decisions)
        self._ingress = Ingress(
            self._dispatcher,
            self._idempotency_handler,
            self.state,
            self.guard,
            self._clock,
            self.incarnation,
            self.metrics,
        )
        self._hop_server = HopServer(
            self.local_backend, self.state, self.guard, self._clock, self.incarnation, self.metrics
        )
        self._report = NodeReport(
            self.settings.node.id,
            self.incarnation,
            self.metrics,
            self.local_backend,
            self._measurer.budget,
            self.state,
            self.follower,
            self.table,
            self.gossip,
            self.register,
            self.guard,
        )
        self._operators = OperatorsEndpoint(
            parse_address(self.settings.listen.operators),
            OperatorService(
                self._configuration_writer, self.state, self.table, self._report.status
            ),
        )
        self._own_record = OwnRecord(
            self.local_backend, self.state, self.table, self.gossip, self._clock, self._decisions
        )
        self._peer_app = make_peer_app(self.gossip, self.table, self.follower)
        self._announcement_app = make_announcement_app(self.announced, self._announcement_status)

    async def _serve_caller(self, exchange: ServerExchange) -> None:
        await self._ingress.handle(exchange)

    async def _serve_peer(self, exchange: ServerExchange) -> None:
        head = exchange.head
        if head.target == IDENTITY_PATH:
            answer_identity(exchange, self.incarnation)
            return
        attempt = head.get(wire.ATTEMPT)
        if attempt is not None:
            await self._hop_server.handle(exchange, attempt)
            return
        holder = head.get(wire.HOLDER)
        if holder is None:
            await serve_asgi(self._peer_app, exchange)
        elif holder.decode("latin-1") != self.incarnation:
            refuse(exchange, ResultCode.HOLDER_GONE, ran=Ran.UNKNOWN)
        else:
            await self._ingress.handle(exchange)

    async def _serve_announcement(self, exchange: ServerExchange) -> None:
        await serve_asgi(self._announcement_app, exchange)

    def announced(self, message: Announcement) -> bool:
        """Apply an announcement; False if another backend server is already announced here."""
        accepted = self.local_backend.announced(
            message.backend_server,
            message.service,
            parse_address(message.address),
            message.slots,
            draining=message.draining,
            uptime=message.uptime_ms / 1000.0,
        )
        if accepted:
            self._measurer.path = message.load_path
            self._configuration_changed()
        return accepted

    def _member_changed(self, member: Member) -> None:
        self._decisions.event(
            "member",
            member=member.node,
            status=member.status.value,
            incarnation=member.incarnation,
            version=member.version,
        )

    def _announcement_status(self) -> dict[str, object]:
        return {"phase": self.local_backend.state.phase.value, "node": self.settings.node.id}

    def _configuration_changed(self) -> None:
        is_drained = self.local_backend.backend_server in self.state.drained
        is_evacuated = self.table.me.data_centre in self.state.evacuated
        self.local_backend.set_operator_drain(is_drained or is_evacuated)
        spec = self.state.service_by_name.get(self.local_backend.service)
        self._measurer.budget.rate = 0.0 if spec is None else spec.measure_per_second
        self._own_record.refresh()

    async def _tick_forever(self) -> None:
        while True:
            now = self._clock.now()
            pauses = self.guard.pauses
            self.guard.check(now)
            if self.guard.pauses != pauses:
                self._decisions.event("paused")
            self.local_backend.tick()
            self._share.observe(self.table.serving(self.local_backend.service), now)
            self._own_record.refresh()
            self._decisions.flush()
            await asyncio.sleep(TICK_SECONDS)

    async def _housekeep_forever(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self.register.expire()
            self._hop_pool.drop_idle()
            self._backend_pool.drop_idle()
            self._router.drop_removed()
            self._dispatcher.forget(set(self.state.service_by_name))

    async def _publish_forever(self) -> None:
        while True:
            await asyncio.sleep(self.settings.metrics.interval_seconds)
            self._publish()

    def _publish(self) -> None:
        if self._statsd is not None:
            self._statsd.publish(self._report.counters(), self._report.gauges())
