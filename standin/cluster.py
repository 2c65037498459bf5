"""Starts a deployment as separate processes on loopback, and stops it by process id."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypeVar

import aiohttp
from grpclib.client import Channel

from hoisthook.rpc import operator_pb2 as pb
from hoisthook.rpc.operator_grpc import OperatorStub
from hoisthook.rpc.spec_codec import spec_to_message

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from hoisthook.configuration.service_spec import ServiceSpec
    from standin.deployment import Deployment

T = TypeVar("T")

READY_SECONDS = 60.0
POLL_SECONDS = 0.05
FIRST_BLOCK_PORT = 10_000
LAST_BLOCK_PORT = 30_000
BLOCK_SIZE = 200


@dataclass(slots=True)
class Place:
    """One backend server and the node beside it."""

    name: str
    service: str
    data_centre: str
    callers: int
    peers: int
    announcements: int
    operators: int
    backend: int
    node_process: asyncio.subprocess.Process | None = None
    backend_process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Return where callers reach the node."""
        return f"http://127.0.0.1:{self.callers}"

    @property
    def backend_url(self) -> str:
        """Return where the backend server itself listens."""
        return f"http://127.0.0.1:{self.backend}"


@dataclass(slots=True)
class Options:
    """What differs between the uses of a cluster."""

    base_port: int = 0
    policy: str = "hoisthook"
    admission: bool = True
    work_ms: float = 5.0
    decisions: bool = True
    retention_seconds: float = 86_400.0
    drain_seconds: float = 10.0
    program: list[str] = field(default_factory=lambda: [sys.executable, "-m", "hoisthook"])


class Cluster:
    """All processes of one deployment."""

    def __init__(self, deployment: Deployment, options: Options | None = None) -> None:
        self.deployment = deployment
        self.options = options or Options()
        self.folder = Path(tempfile.mkdtemp(prefix="hoisthook-"))
        self.places: list[Place] = []
        self.log_port = 0
        self._block: PortBlock | None = None
        self._log_process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start everything, put the services, and wait until all nodes know all."""
        self._plan()
        self._log_process = await self._spawn(
            [sys.executable, "-m", "standin.platform_log", "--port", str(self.log_port)]
        )
        await asyncio.gather(*(self.start_node(place) for place in self.places))
        await asyncio.gather(*(self.start_backend(place) for place in self.places))
        await self._wait_for_port(self.log_port)
        await asyncio.gather(*(self._wait_for_port(place.operators) for place in self.places))
        for spec in self.deployment.specs():
            await self.put_service(spec, 0, f"setup-{spec.name}")
        await self.wait_until_known()

    async def close(self) -> list[int]:
        """Stop everything gracefully and return the nodes' exit statuses."""
        nodes = [p.node_process for p in self.places if p.node_process is not None]
        statuses = await asyncio.gather(*(stop(process) for process in nodes))
        others = [p.backend_process for p in self.places if p.backend_process is not None]
        if self._log_process is not None:
            others.append(self._log_process)
        await asyncio.gather(*(stop(process) for process in others))
        if self._block is not None:
            self._block.close()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()
        return list(statuses)

    async def start_node(self, place: Place) -> None:
        """Start the node of a place."""
        path = self.folder / f"{place.name}.toml"
        path.write_text(self._settings(place))
        with (self.folder / f"{place.name}.log").open("a") as errors:
            place.node_process = await asyncio.create_subprocess_exec(
                *self.options.program, "run", str(path), stderr=errors
            )

    async def start_backend(self, place: Place) -> None:
        """Start the backend server of a place."""
        place.backend_process = await self._spawn(
            [
                *[sys.executable, "-m", "standin.backend_server", "--port", str(place.backend)],
                *["--id", f"{place.name}", "--service", place.service],
                *["--slots", str(self.deployment.slots)],
                *["--announce", f"127.0.0.1:{place.announcements}"],
                *["--work-ms", str(self.options.work_ms)],
            ]
        )

    def of(self, service: str) -> list[Place]:
        """Return the places of a service."""
        return [place for place in self.places if place.service == service]

    async def put_service(
        self, spec: ServiceSpec, base_revision: int, operation_id: str
    ) -> pb.ChangeReply:
        """Put a service through the first node; repeat while the log starts up."""
        header = pb.ChangeHeader(operation_id=operation_id, base_revision=base_revision)
        request = pb.PutServiceRequest(header=header, service=spec_to_message(spec))
        async with asyncio.timeout(READY_SECONDS):
            while True:
                reply: pb.ChangeReply = await operator_call(
                    self.places[0].operators, lambda stub: stub.PutService(request)
                )
                if reply.code not in (4002, 4003):
                    return reply
                await asyncio.sleep(POLL_SECONDS)

    async def wait_until_known(self) -> None:
        """Wait until every node knows every backend server and service."""
        count = len(self.places)

        async def knows_all(place: Place) -> bool:
            reply = await operator_call(
                place.operators,
                lambda stub: stub.ListBackendServers(pb.ListBackendServersRequest()),
            )
            ready = [entry for entry in reply.backend_servers if entry.takes_work]
            services = await operator_call(
                place.operators, lambda stub: stub.ListServices(pb.ListServicesRequest())
            )
            known = len(services.entries) >= len(self.deployment.count_by_service)
            return len(ready) >= count and known

        await asyncio.gather(*(wait_until(partial(knows_all, place)) for place in self.places))

    async def log_faults(self, **faults: object) -> None:
        """Set the log stand-in's faults."""
        await post_json(f"http://127.0.0.1:{self.log_port}/faults", faults)

    def _plan(self) -> None:
        names: list[tuple[str, str]] = []
        for service, count in self.deployment.count_by_service.items():
            names.extend((f"{service}-{number}", service) for number in range(1, count + 1))
        ports = self._ports(1 + 5 * len(names))
        self.log_port = ports[0]
        kinds = [ports[1 + k * len(names) : 1 + (k + 1) * len(names)] for k in range(5)]
        centres = self.deployment.data_centres
        for number, (name, service) in enumerate(names):
            self.places.append(
                Place(
                    name=name,
                    service=service,
                    data_centre=centres[number % len(centres)],
                    callers=kinds[0][number],
                    peers=kinds[1][number],
                    announcements=kinds[2][number],
                    operators=kinds[3][number],
                    backend=kinds[4][number],
                )
            )

    def _ports(self, count: int) -> list[int]:
        if not self.options.base_port:
            self._block = PortBlock(count)
            return self._block.ports
        base = self.options.base_port
        each = (count - 1) // 5
        return [base, *(base + 100 * (k + 1) + n for k in range(5) for n in range(each))]

    def _settings(self, place: Place) -> str:
        seeds = ", ".join(f'"127.0.0.1:{other.peers}"' for other in self.places[:3])
        options = self.options
        return f"""
[node]
id = "{place.name}"
data_centre = "{place.data_centre}"

[listen]
callers = "127.0.0.1:{place.callers}"
peers = "127.0.0.1:{place.peers}"
announcements = "127.0.0.1:{place.announcements}"
operators = "127.0.0.1:{place.operators}"

[log]
address = "127.0.0.1:{self.log_port}"
retention_seconds = {options.retention_seconds}

[peers]
seeds = [{seeds}]

[routing]
policy = "{options.policy}"
admission = {str(options.admission).lower()}

[logging]
decisions = {str(options.decisions).lower()}

[shutdown]
drain_seconds = {options.drain_seconds}
"""

    async def _spawn(self, command: list[str]) -> asyncio.subprocess.Process:
        with (self.folder / "standins.log").open("a") as errors:
            return await asyncio.create_subprocess_exec(*command, stderr=errors)

    async def _wait_for_port(self, port: int) -> None:
        async def is_open() -> bool:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                return False
            writer.close()
            return True

        await wait_until(is_open)


class PortBlock:
    """Ports below the system's own range, kept from other clusters by a guard socket.

    A port that the system chose and that is then closed may go to any outgoing
    connection before its server starts; these may not.
    """

    def __init__(self, count: int) -> None:
        self._guard, first = self._claim()
        self.ports = list(range(first + 1, first + 1 + count))

    def close(self) -> None:
        """Let others have the block."""
        self._guard.close()

    def _claim(self) -> tuple[socket.socket, int]:
        starts = list(range(FIRST_BLOCK_PORT, LAST_BLOCK_PORT, BLOCK_SIZE))
        random.shuffle(starts)
        for start in starts:
            with contextlib.suppress(OSError):
                return socket.create_server(("127.0.0.1", start)), start
        raise RuntimeError("no block of ports is free")


async def stop(process: asyncio.subprocess.Process) -> int:
    """Ask a process to stop, and return its exit status."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
    return await process.wait()


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout: float = READY_SECONDS
) -> None:
    """Ask again and again until the condition holds.

    Raises
    ------
    TimeoutError
        If it does not within ``timeout`` seconds.
    """
    async with asyncio.timeout(timeout):
        while True:
            with contextlib.suppress(OSError):
                if await condition():
                    return
            await asyncio.sleep(POLL_SECONDS)


async def operator_call(port: int, method: Callable[[OperatorStub], Awaitable[T]]) -> T:
    """Make one operators' call."""
    channel = Channel("127.0.0.1", port)
    try:
        return await method(OperatorStub(channel))
    finally:
        channel.close()


async def post_json(url: str, value: object) -> None:
    """Post a value as JSON."""
    async with aiohttp.ClientSession() as session, session.post(url, json=value) as response:
        await response.read()
