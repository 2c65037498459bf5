"""The platform path as separate processes: nodes as programs, the rest stand-ins here."""

from __future__ import annotations

import asyncio
import contextlib
import os
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
from standin.published_configuration import RouteOptions
from standin.published_configuration import configuration

if TYPE_CHECKING:
    from hoisthook.identity import Address
    from standin.deployment import Deployment

PROGRAM = Path(__file__).resolve().parent.parent / "platform" / "run_node.py"
HEARTBEAT_SECONDS = 0.5
READY_SECONDS = 30.0
POLL_SECONDS = 0.05
TOPIC = "keyed.op"
KEY = "config"


@dataclass(slots=True)
class MeshPlace:
    """One instance: a node's process and the backend server beside it.

    Attributes
    ----------
    store : str
        Where the node believes the store; a proxy may stand in between.
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
    """A deployment on loopback.

    Parameters
    ----------
    deployment : Deployment
        Data centres and services.
    grace_seconds : float
        What nodes are told of the time between the two signals.
    """

    def __init__(self, deployment: Deployment, *, grace_seconds: float = 6.0) -> None:
        self.deployment = deployment
        self.grace_seconds = grace_seconds
        self.store = StoreStandin()
        self.places: list[MeshPlace] = []
        self.folder = Path(tempfile.mkdtemp(prefix="hoisthook-mesh-"))
        self.pool = ClientPool()
        self._beating: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.store.start()
        await self._plan()
        self.publish(1)
        await asyncio.gather(*(self.start_node(place) for place in self.places))
        loop = asyncio.get_running_loop()
        self._beating = [loop.create_task(self._beat_forever(place)) for place in self.places]
        async with asyncio.timeout(READY_SECONDS):
            for place in self.places:
                await self.until_ready(place)

    async def close(self) -> None:
        """Stop what runs; every process by its id."""
        for task in self._beating:
            task.cancel()
        for place in self.places:
            await self.kill(place)
            place.backend.close()
        self.pool.close()
        self.store.close()

    def routes(self) -> list[RouteOptions]:
        """Return one repeatable and one non-repeatable route for each service."""
        found = []
        for service in self.deployment.count_by_service:
            found.append(RouteOptions(service, host=f"{service}.example", prefix="/read/"))
            found.append(
                RouteOptions(service, host=f"{service}.example", prefix="/write/", safe=False)
            )
        return found

    def publish(self, version: int, extra: list[RouteOptions] | None = None) -> None:
        """Publish a configuration."""
        record = configuration(version, *self.routes(), *(extra or []))
        self.store.put(TOPIC, KEY, record)

    async def start_node(self, place: MeshPlace) -> None:
        """Start the node of a place, unless it runs: faults that overlap may both ask for it."""
        if (place.process is not None and place.process.returncode is None) or place.is_starting:
            return
        place.is_starting = True
        path = self.folder / f"{place.name}.toml"
        path.write_text(self._settings(place))
        try:
            with (self.folder / f"{place.name}.log").open("ab") as lines:
                place.process = await asyncio.create_subprocess_exec(
                    *[sys.executable, str(PROGRAM)],
                    stdout=lines,
                    stderr=lines,
                    env={**os.environ, "HOISTHOOK_BOOT": str(path)},
                )
        finally:
            place.is_starting = False
        place.first_start = False

    def describe(self, place: MeshPlace) -> str:
        """Return a place's name and what its process is doing."""
        if place.is_starting:
            return f"{place.name} (being started)"
        if place.process is None:
            return f"{place.name} (never started)"
        if place.process.returncode is None:
            return f"{place.name} (process {place.process.pid} runs)"
        return f"{place.name} (process ended with {place.process.returncode})"

    async def kill(self, place: MeshPlace) -> None:
        """Kill the node of a place."""
        if place.process is not None and place.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                place.process.send_signal(signal.SIGCONT)
                place.process.kill()
            await place.process.wait()

    async def stop(self, place: MeshPlace) -> int:
        """Stop the node of a place as the platform does; return its exit status."""
        assert place.process is not None
        place.process.terminate()
        try:
            async with asyncio.timeout(self.grace_seconds):
                return await place.process.wait()
        except TimeoutError:
            await self.kill(place)
            return -signal.SIGKILL

    async def until_ready(self, place: MeshPlace) -> None:
        """Wait until a node says that it is ready."""
        while await self.get(parse_address(place.readiness), b"/-/readyz") != 200:
            await asyncio.sleep(POLL_SECONDS)

    async def get(self, address: Address, path: bytes) -> int:
        """Return the status of a plain request; 0 if there is no answer."""
        try:
            connection = await self.pool.acquire(address, 0.5)
        except UnreachableError:
            return 0
        answered = await exchange_buffered(
            connection, b"GET", path, [(b"host", b"node")], b"", timeout=2.0
        )
        if isinstance(answered, Lost):
            return 0
        self.pool.keep(address, connection)
        return answered[0].status

    async def _plan(self) -> None:
        number = 0
        for service, count in self.deployment.count_by_service.items():
            for _ in range(count):
                number += 1
                backend = MeshBackendStandin(service, f"i-{number}", slots=self.deployment.slots)
                await backend.start()
                self.places.append(self._place(number, service, backend))

    def _place(self, number: int, service: str, backend: MeshBackendStandin) -> MeshPlace:
        centres = self.deployment.data_centres
        return MeshPlace(
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

    async def _beat_forever(self, place: MeshPlace) -> None:
        address = parse_address(place.announcements)
        while True:
            # A node that is down or frozen misses heartbeats, as on the platform.
            if place.backend.crashed.is_set():
                await asyncio.sleep(HEARTBEAT_SECONDS)
                continue
            with contextlib.suppress(UnreachableError, AssertionError):
                await place.backend.beat(address, state=place.state)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _settings(self, place: MeshPlace) -> str:
        return f"""
[node]
id = "{place.name}"
data_centre = "{place.data_centre}"
service = "{place.service}"
first_start = {str(place.first_start).lower()}
[listen]
callers = "{place.callers}"
peers = "{place.peers}"
readiness = "{place.readiness}"
announcements = "{place.announcements}"
metrics = "{place.metrics}"
[backend_server]
address = "{format_address(place.backend.address)}"
[store]
address = "{place.store}"
configuration_topic = "{TOPIC}"
configuration_key = "{KEY}"
nodes_topic = "{NODES_TOPIC}"
[shutdown]
grace_seconds = {self.grace_seconds}
"""
