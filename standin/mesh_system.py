"""Runs platform nodes, with stand-ins for store and backend servers, in one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook_platform.backend_wire import PlatformBackendWire
from hoisthook_platform.caller_wire import PlatformCallerWire
from hoisthook_platform.configuration_record import KEY
from hoisthook_platform.configuration_record import TOPIC
from hoisthook_platform.configuration_record import ConfigurationReader
from hoisthook_platform.local_endpoints import LocalEndpoints
from hoisthook_platform.log_store import LogStore

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.logged_store import LoggedStore
from hoisthook.identity import format_address
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.mesh.mesh_node import MeshNode
from hoisthook.node.call import Lost
from hoisthook.node.loop_clock import LoopClock
from hoisthook.settings.mesh_settings import BackendServerSettings
from hoisthook.settings.mesh_settings import MeshColdSettings
from hoisthook.settings.mesh_settings import MeshIdentitySettings
from hoisthook.settings.mesh_settings import MeshKeySettings
from hoisthook.settings.mesh_settings import MeshListenSettings
from hoisthook.settings.mesh_settings import MeshRetrySettings
from hoisthook.settings.mesh_settings import MeshSettings
from hoisthook.settings.mesh_settings import MeshTeamSettings
from hoisthook.settings.mesh_settings import StoreSettings
from standin.loopback_ports import HOST
from standin.loopback_ports import free_address
from standin.mesh_backend import MeshBackendStandin
from standin.mesh_store import StoreStandin
from standin.published_configuration import configuration

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.adapter.http.message import Header
    from hoisthook.port.event_log import EventLog
    from standin.published_configuration import RouteOptions
    from standin.published_configuration import TeamOptions

NODES_TOPIC = "keyed.nodes"
EVACUATION_PREFIX = "evacuate/"
# Large enough that a node has budget for reruns within milliseconds of its start.
RETRY_EXTRA = 1_000_000.0
ANY_PORT = f"{HOST}:0"


class ListLog:
    """An event log that keeps its lines in memory."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def event(self, name: str, **fields: object) -> None:
        """Record an event."""
        self.lines.append((name, fields))

    def decision(self, name: str, **fields: object) -> None:
        """Record a decision."""
        self.lines.append((name, fields))

    def named(self, name: str) -> list[dict[str, object]]:
        """Return the fields of all lines with a name."""
        return [fields for line, fields in self.lines if line == name]


class Machine:
    """One node and its backend server."""

    def __init__(self, node: MeshNode, endpoints: LocalEndpoints, backend: MeshBackendStandin):
        self.node = node
        self.endpoints = endpoints
        self.backend = backend

    async def send_heartbeat(self, state: str = "ready") -> int:
        """Have the backend server send a heartbeat."""
        return await self.backend.send_heartbeat(self.endpoints.announcements_address, state=state)

    def crash(self) -> None:
        """Stop the node abruptly, as SIGKILL would."""
        self.node.abort()
        self.endpoints.close()


class MeshSystem:
    """A store, nodes with their backend servers, and a caller.

    Attributes
    ----------
    log : ListLog
        Event log that all nodes share.
    pool : ClientPool
        Connections of the callers.
    readers_per_data_centre, first_start, reuse_after_seconds, cold, keys, teams, retry
        Settings of the nodes that are added afterwards.
    """

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.log = ListLog()
        self.machines: list[Machine] = []
        self.readers_per_data_centre = 4
        self.first_start = False
        self.reuse_after_seconds = 0.0
        self.cold = MeshColdSettings()
        self.keys = MeshKeySettings()
        self.teams = MeshTeamSettings()
        self.retry = MeshRetrySettings(extra=RETRY_EXTRA)
        self.pool = ClientPool()
        self._store_pools: list[ClientPool] = []
        self._requests = 0
        self._added = 0

    async def start(self) -> None:
        """Start the store."""
        await self.store.start()

    async def close(self) -> None:
        """Stop all nodes, backend servers and the store abruptly."""
        for machine in self.machines:
            machine.crash()
            machine.backend.close()
        for pool in [self.pool, *self._store_pools]:
            pool.close()
        self.store.close()
        await asyncio.sleep(0)

    def publish(
        self, version: int, *routes: RouteOptions, teams: Iterable[TeamOptions] = ()
    ) -> None:
        """Publish a configuration as an operator does."""
        self.store.put(TOPIC, KEY, configuration(version, *routes, teams=teams))

    def evacuate(self, data_centre: str) -> None:
        """Evacuate a data centre as an operator does: no more requests are sent to it."""
        self.store.put(TOPIC, f"{EVACUATION_PREFIX}{data_centre}", b"{}")

    def restore(self, data_centre: str) -> None:
        """End the evacuation of a data centre."""
        self.store.put(TOPIC, f"{EVACUATION_PREFIX}{data_centre}", b"")

    async def add(
        self,
        service: str,
        *,
        data_centre: str = "one",
        slots: int = 4,
        announced: bool = True,
        backend: MeshBackendStandin | None = None,
    ) -> Machine:
        """Start a node and, unless one is given, its backend server."""
        self._added += 1
        number = self._added
        if backend is None:
            backend = MeshBackendStandin(service, f"i-{number}", slots=slots)
            await backend.start()
        machine = self._make(f"node-{number}", service, data_centre, backend, self.log)
        await machine.endpoints.start()
        await machine.node.start()
        self.machines.append(machine)
        if announced:
            assert await machine.send_heartbeat() == 200
        return machine

    async def restart(self, stopped: Machine) -> Machine:
        """Start a new node in place of a stopped one, with its identity and address only."""
        me = stopped.node.directory.me
        restarted = self._make(me.node, me.service, me.data_centre, stopped.backend, self.log)
        restarted.node._peers._address = stopped.node._peers._address
        restarted.node.directory.me = me
        await restarted.endpoints.start()
        await restarted.node.start()
        self.machines = [machine for machine in self.machines if machine is not stopped]
        self.machines.append(restarted)
        return restarted

    def merge_all_peers(self) -> None:
        """Add all nodes to every node's peer directory, without waiting for the store."""
        peers = [machine.node.directory.me for machine in self.machines]
        for machine in self.machines:
            machine.node.directory.merge(peers, "test")
            machine.node.directory.is_complete = True
            machine.node.repeats.refresh()

    async def until_configured(self, version: int) -> None:
        """Wait until all nodes have applied a configuration version or a newer one."""
        while any(m.node.configuration.version < version for m in self.machines):
            await asyncio.sleep(0.005)

    async def call(
        self,
        machine: Machine,
        path: str = "/x",
        *,
        host: str = "a.example",
        method: bytes = b"GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        request_id: str | None = None,
        timeout: float = 5.0,
        key: str | None = None,
        more: Iterable[Header] = (),
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        """Send a request to a node as a caller; return status, headers and body.

        Raises
        ------
        ConnectionError
            If the connection is lost before the response is complete.
        """
        self._requests += 1
        name = request_id or f"q{self._requests}"
        headers = [
            (b"host", host.encode()),
            (b"x-request-id", name.encode()),
            (b"x-deadline-ms", b"%d" % deadline_ms),
        ]
        if key is not None:
            headers.append((b"authorization", b"Bearer " + key.encode()))
        headers.extend(more)
        address = machine.node.callers_address
        connection = await self.pool.acquire(address, 1.0)
        response = await exchange_buffered(
            connection, method, path.encode(), headers, body, timeout=timeout
        )
        if isinstance(response, Lost):
            raise ConnectionError(response.code.name)
        self.pool.keep(address, connection)
        head, data = response
        return head.status, dict(head.headers), data

    def _make(
        self,
        name: str,
        service: str,
        data_centre: str,
        backend: MeshBackendStandin,
        log: EventLog,
    ) -> Machine:
        clock = LoopClock()
        pool = ClientPool()
        self._store_pools.append(pool)
        settings = MeshSettings(
            node=MeshIdentitySettings(name, data_centre, service, self.first_start),
            listen=MeshListenSettings(ANY_PORT, free_address(), ANY_PORT, ANY_PORT),
            backend_server=BackendServerSettings(
                format_address(backend.address), 1.0, self.reuse_after_seconds
            ),
            store=StoreSettings(
                format_address(self.store.address),
                TOPIC,
                KEY,
                NODES_TOPIC,
                self.readers_per_data_centre,
                EVACUATION_PREFIX,
            ),
            cold=self.cold,
            keys=self.keys,
            teams=self.teams,
            retry=self.retry,
        )
        node = MeshNode(
            settings,
            caller_wire=PlatformCallerWire(),
            backend_wire=PlatformBackendWire(),
            store=LoggedStore(LogStore(self.store.address, pool), clock, log),
            decode=ConfigurationReader(log),
            clock=clock,
            log=log,
        )
        return Machine(node, LocalEndpoints(node, log), backend)
