"""Runs platform nodes as processes; store and backend servers are stand-ins in this process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.exceptions import UnreachableError
from hoisthook.identity import format_address
from hoisthook.identity import parse_address
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.node.call import Lost
from standin.loopback_ports import free_address
from standin.mesh_backend import MeshBackendStandin
from standin.mesh_store import StoreStandin
from standin.mesh_system import NODES_TOPIC
from standin.published_configuration import LimitOptions
from standin.published_configuration import RouteOptions
from standin.published_configuration import configuration

if TYPE_CHECKING:
    from hoisthook.identity import Address
    from standin.deployment import Deployment

PROGRAM = Path(__file__).resolve().parent.parent / "platform" / "run_node.py"
HEARTBEAT_SECONDS = 0.5
# Time after the end of a backend server within which its address keeps its service.
REUSE_AFTER_SECONDS = 2.0
READY_SECONDS = 30.0
POLL_SECONDS = 0.05
TOPIC = "keyed.op"
KEY = "config"


@dataclass(slots=True)
class MeshInstance:
    """One instance: a node in a process of its own, and its backend server.

    Attributes
    ----------
    callers, peers, readiness, announcements, metrics : str
        Addresses that the node listens on.
    store : str
        Address of the store in the node's settings; may be that of a proxy.
    first_start : bool
        Whether the node has not been started yet.
    state : str
        State that the backend server reports in its heartbeats.
    is_starting : bool
        Whether the node's process is being created.
    """

    name: str
    service: str
    data_centre: str
    callers: str
    peers: str
    readiness: str
    announcements: str
    metrics: str
    backend: MeshBackendStandin
    store: str
    first_start: bool = True
    process: asyncio.subprocess.Process | None = None
    state: str = "ready"
    is_starting: bool = False


class MeshCluster:
    """A deployment of platform nodes on loopback.

    Parameters
    ----------
    deployment : Deployment
        Data centres and services.
    grace_seconds : float
        Time between SIGTERM and SIGKILL, also in the nodes' settings.
    memory_mb : float, optional
        Memory of each node's machine, in the nodes' settings.
    max_descriptors : int, optional
        Limit of the open descriptors of each node.
    limits : LimitOptions, optional
        Limits of what clients may send.
    timeout : float
        Time limit of all routes, in seconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        grace_seconds: float = 6.0,
        memory_mb: float | None = None,
        max_descriptors: int | None = None,
        limits: LimitOptions | None = None,
        timeout: float = 2.0,
    ) -> None:
        self.deployment = deployment
        self.grace_seconds = grace_seconds
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.limits = limits
        self.timeout = timeout
        self.store = StoreStandin()
        self.instances: list[MeshInstance] = []
        self.folder = Path(tempfile.mkdtemp(prefix="hoisthook-mesh-"))
        self.pool = ClientPool()
        self._heartbeat_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the store, backend servers and nodes, and wait until all nodes are ready."""
        await self.store.start()
        await self._plan()
        self.publish(1)
        await asyncio.gather(*(self.start_node(instance) for instance in self.instances))
        loop = asyncio.get_running_loop()
        self._heartbeat_tasks = [
            loop.create_task(self._send_heartbeats(instance)) for instance in self.instances
        ]
        async with asyncio.timeout(READY_SECONDS):
            for instance in self.instances:
                await self.wait_until_ready(instance)

    async def close(self) -> None:
        """Kill all nodes and close the stand-ins."""
        for task in self._heartbeat_tasks:
            task.cancel()
        for instance in self.instances:
            await self.kill(instance)
            instance.backend.close()
        self.pool.close()
        self.store.close()

    def routes(self) -> list[RouteOptions]:
        """Return one repeatable and one non-repeatable route for each service."""
        options = []
        for service in self.deployment.count_by_service:
            for prefix, safe in (("/read/", True), ("/write/", False)):
                options.append(
                    RouteOptions(
                        service,
                        host=f"{service}.example",
                        prefix=prefix,
                        safe=safe,
                        timeout=self.timeout,
                    )
                )
        return options

    def publish(self, version: int, extra: list[RouteOptions] | None = None) -> None:
        """Publish a configuration with the routes of all services and some extra ones."""
        record = configuration(version, *self.routes(), *(extra or []), limits=self.limits)
        self.store.put(TOPIC, KEY, record)

    async def start_node(self, instance: MeshInstance) -> None:
        """Start the node of an instance, unless it runs or is being started.

        Overlapping faults may both try to start the same node.
        """
        if (
            instance.process is not None and instance.process.returncode is None
        ) or instance.is_starting:
            return
        instance.is_starting = True
        path = self.folder / f"{instance.name}.toml"
        path.write_text(self._settings(instance))
        try:
            with (self.folder / f"{instance.name}.log").open("ab") as lines:
                instance.process = await asyncio.create_subprocess_exec(
                    *[sys.executable, str(PROGRAM)],
                    stdout=lines,
                    stderr=lines,
                    env={**os.environ, "HOISTHOOK_BOOT": str(path)},
                    preexec_fn=None if self.max_descriptors is None else self._limit_descriptors,
                )
        finally:
            instance.is_starting = False
        instance.first_start = False

    def _limit_descriptors(self) -> None:
        assert self.max_descriptors is not None
        limits = (self.max_descriptors, self.max_descriptors)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def describe(self, instance: MeshInstance) -> str:
        """Return an instance's name and the state of its process."""
        if instance.is_starting:
            return f"{instance.name} (being started)"
        if instance.process is None:
            return f"{instance.name} (never started)"
        if instance.process.returncode is None:
            return f"{instance.name} (process {instance.process.pid} runs)"
        return f"{instance.name} (process exited with {instance.process.returncode})"

    async def kill(self, instance: MeshInstance) -> None:
        """Kill the node of an instance and await its exit."""
        if instance.process is not None and instance.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
            await instance.process.wait()

    async def stop(self, instance: MeshInstance) -> int:
        """Stop a node as the platform does: SIGTERM, then SIGKILL; return its exit status."""
        assert instance.process is not None
        instance.process.terminate()
        try:
            async with asyncio.timeout(self.grace_seconds):
                return await instance.process.wait()
        except TimeoutError:
            await self.kill(instance)
            return -signal.SIGKILL

    async def wait_until_ready(self, instance: MeshInstance) -> None:
        """Wait until a node's readiness check succeeds."""
        while await self.get(parse_address(instance.readiness), b"/-/readyz") != 200:
            await asyncio.sleep(POLL_SECONDS)

    async def get(self, address: Address, path: bytes) -> int:
        """Send a GET request; return the status of the response, or 0 if there is none."""
        try:
            connection = await self.pool.acquire(address, 0.5)
        except UnreachableError:
            return 0
        response = await exchange_buffered(
            connection, b"GET", path, [(b"host", b"node")], b"", timeout=2.0
        )
        if isinstance(response, Lost):
            return 0
        self.pool.keep(address, connection)
        return response[0].status

    async def _plan(self) -> None:
        number = 0
        for service, count in self.deployment.count_by_service.items():
            for _ in range(count):
                number += 1
                backend = MeshBackendStandin(service, f"i-{number}", slots=self.deployment.slots)
                # A port that stays free while the server is away.
                await backend.start(parse_address(free_address()))
                self.instances.append(self._make_instance(number, service, backend))

    def _make_instance(
        self, number: int, service: str, backend: MeshBackendStandin
    ) -> MeshInstance:
        centres = self.deployment.data_centres
        return MeshInstance(
            name=f"node-{number}",
            service=service,
            data_centre=centres[number % len(centres)],
            callers=free_address(),
            peers=free_address(),
            readiness=free_address(),
            announcements=free_address(),
            metrics=free_address(),
            backend=backend,
            store=format_address(self.store.address),
        )

    async def _send_heartbeats(self, instance: MeshInstance) -> None:
        address = parse_address(instance.announcements)
        while True:
            # As on the platform, a heartbeat to a node that is down or frozen is lost.
            if instance.backend.crashed.is_set() or instance.state == "gone":
                await asyncio.sleep(HEARTBEAT_SECONDS)
                continue
            with contextlib.suppress(UnreachableError, AssertionError):
                await instance.backend.send_heartbeat(address, state=instance.state)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _settings(self, instance: MeshInstance) -> str:
        memory = "" if self.memory_mb is None else f"memory_mb = {self.memory_mb}"
        return f"""
[node]
id = "{instance.name}"
data_centre = "{instance.data_centre}"
service = "{instance.service}"
first_start = {str(instance.first_start).lower()}
{memory}
[listen]
callers = "{instance.callers}"
peers = "{instance.peers}"
readiness = "{instance.readiness}"
announcements = "{instance.announcements}"
metrics = "{instance.metrics}"
[backend_server]
address = "{format_address(instance.backend.address)}"
reuse_after_seconds = {REUSE_AFTER_SECONDS}
[store]
address = "{instance.store}"
configuration_topic = "{TOPIC}"
configuration_key = "{KEY}"
nodes_topic = "{NODES_TOPIC}"
[shutdown]
grace_seconds = {self.grace_seconds}
"""
