"""Runs a deployment as separate processes on loopback."""

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
class Instance:
    """One instance: a backend server and its node, with the ports of both.

    Attributes
    ----------
    callers, peers, announcements, operators : int
        Ports that the node listens on.
    backend : int
        Port that the backend server listens on.
    """

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
        """Return the URL that callers use."""
        return f"http://127.0.0.1:{self.callers}"

    @property
    def backend_url(self) -> str:
        """Return the URL of the backend server."""
        return f"http://127.0.0.1:{self.backend}"


@dataclass(slots=True)
class Options:
    """Options of a cluster.

    Attributes
    ----------
    base_port : int
        First port; 0 to allocate a free block of ports.
    work_ms : float
        Mean service time of the backend servers, in milliseconds.
    program : list of str
        Command that runs a node.
    """

    base_port: int = 0
    policy: str = "hoisthook"
    admission: bool = True
    work_ms: float = 5.0
    decisions: bool = True
    retention_seconds: float = 86_400.0
    drain_seconds: float = 10.0
    program: list[str] = field(default_factory=lambda: [sys.executable, "-m", "hoisthook"])


class Cluster:
    """The processes of one deployment: nodes, backend servers and the log service."""

    def __init__(self, deployment: Deployment, options: Options | None = None) -> None:
        self.deployment = deployment
        self.options = options or Options()
        self.folder = Path(tempfile.mkdtemp(prefix="hoisthook-"))
        self.instances: list[Instance] = []
        self.log_port = 0
        self._block: PortBlock | None = None
        self._log_process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start all processes, create the services, and wait until all nodes know all of them."""
        self._plan()
        self._log_process = await self._spawn(
            [sys.executable, "-m", "standin.platform_log", "--port", str(self.log_port)]
        )
        await asyncio.gather(*(self.start_node(instance) for instance in self.instances))
        await asyncio.gather(*(self.start_backend(instance) for instance in self.instances))
        await self._wait_for_port(self.log_port)
        await asyncio.gather(
            *(self._wait_for_port(instance.operators) for instance in self.instances)
        )
        for spec in self.deployment.specs():
            await self.put_service(spec, 0, f"setup-{spec.name}")
        await self.wait_until_known()

    async def close(self) -> list[int]:
        """Stop all processes gracefully and return the nodes' exit statuses."""
        nodes = [p.node_process for p in self.instances if p.node_process is not None]
        statuses = await asyncio.gather(*(stop(process) for process in nodes))
        others = [p.backend_process for p in self.instances if p.backend_process is not None]
        if self._log_process is not None:
            others.append(self._log_process)
        await asyncio.gather(*(stop(process) for process in others))
        if self._block is not None:
            self._block.close()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()
        return list(statuses)

    async def start_node(self, instance: Instance) -> None:
        """Start the node of an instance."""
        path = self.folder / f"{instance.name}.toml"
        path.write_text(self._settings(instance))
        with (self.folder / f"{instance.name}.log").open("a") as errors:
            instance.node_process = await asyncio.create_subprocess_exec(
                *self.options.program, "run", str(path), stderr=errors
            )

    async def start_backend(self, instance: Instance) -> None:
        """Start the backend server of an instance."""
        instance.backend_process = await self._spawn(
            [
                *[sys.executable, "-m", "standin.backend_server", "--port", str(instance.backend)],
                *["--id", f"{instance.name}", "--service", instance.service],
                *["--slots", str(self.deployment.slots)],
                *["--announce", f"127.0.0.1:{instance.announcements}"],
                *["--work-ms", str(self.options.work_ms)],
            ]
        )

    def of(self, service: str) -> list[Instance]:
        """Return the instances of a service."""
        return [instance for instance in self.instances if instance.service == service]

    async def put_service(
        self, spec: ServiceSpec, base_revision: int, operation_id: str
    ) -> pb.ChangeReply:
        """Create or replace a service at the first node; retry while the log service starts up."""
        header = pb.ChangeHeader(operation_id=operation_id, base_revision=base_revision)
        request = pb.PutServiceRequest(header=header, service=spec_to_message(spec))
        async with asyncio.timeout(READY_SECONDS):
            while True:
                reply: pb.ChangeReply = await operator_call(
                    self.instances[0].operators, lambda stub: stub.PutService(request)
                )
                if reply.code not in (4002, 4003):
                    return reply
                await asyncio.sleep(POLL_SECONDS)

    async def wait_until_known(self) -> None:
        """Wait until every node knows every backend server and service."""
        count = len(self.instances)

        async def knows_all(instance: Instance) -> bool:
            reply = await operator_call(
                instance.operators,
                lambda stub: stub.ListBackendServers(pb.ListBackendServersRequest()),
            )
            ready = [entry for entry in reply.backend_servers if entry.takes_work]
            services = await operator_call(
                instance.operators, lambda stub: stub.ListServices(pb.ListServicesRequest())
            )
            known = len(services.entries) >= len(self.deployment.count_by_service)
            return len(ready) >= count and known

        await asyncio.gather(
            *(wait_until(partial(knows_all, instance)) for instance in self.instances)
        )

    async def log_faults(self, **faults: object) -> None:
        """Replace the faults of the log service."""
        await post_json(f"http://127.0.0.1:{self.log_port}/faults", faults)

    def _plan(self) -> None:
        names: list[tuple[str, str]] = []
        for service, count in self.deployment.count_by_service.items():
            names.extend((f"{service}-{number}", service) for number in range(1, count + 1))
        ports = self._ports(1 + 5 * len(names))
        self.log_port = ports[0]
        ports_by_kind = [ports[1 + k * len(names) : 1 + (k + 1) * len(names)] for k in range(5)]
        centres = self.deployment.data_centres
        for number, (name, service) in enumerate(names):
            self.instances.append(
                Instance(
                    name=name,
                    service=service,
                    data_centre=centres[number % len(centres)],
                    callers=ports_by_kind[0][number],
                    peers=ports_by_kind[1][number],
                    announcements=ports_by_kind[2][number],
                    operators=ports_by_kind[3][number],
                    backend=ports_by_kind[4][number],
                )
            )

    def _ports(self, count: int) -> list[int]:
        if not self.options.base_port:
            self._block = PortBlock(count)
            return self._block.ports
        base = self.options.base_port
        count_of_each = (count - 1) // 5
        return [base, *(base + 100 * (k + 1) + n for k in range(5) for n in range(count_of_each))]

    def _settings(self, instance: Instance) -> str:
        seeds = ", ".join(f'"127.0.0.1:{other.peers}"' for other in self.instances[:3])
        options = self.options
        return f"""
[node]
id = "{instance.name}"
data_centre = "{instance.data_centre}"

[listen]
callers = "127.0.0.1:{instance.callers}"
peers = "127.0.0.1:{instance.peers}"
announcements = "127.0.0.1:{instance.announcements}"
operators = "127.0.0.1:{instance.operators}"

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
    """A block of ports, reserved against other clusters by a bound socket.

    The ports lie below the range that the operating system assigns to outgoing connections. A
    port that the system has chosen, and that is closed until its server starts, may be assigned
    to an outgoing connection in between.
    """

    def __init__(self, count: int) -> None:
        self._guard, first = self._claim()
        self.ports = list(range(first + 1, first + 1 + count))

    def close(self) -> None:
        """Release the block."""
        self._guard.close()

    def _claim(self) -> tuple[socket.socket, int]:
        starts = list(range(FIRST_BLOCK_PORT, LAST_BLOCK_PORT, BLOCK_SIZE))
        random.shuffle(starts)
        for start in starts:
            with contextlib.suppress(OSError):
                return socket.create_server(("127.0.0.1", start)), start
        raise RuntimeError("no free block of ports on loopback")


async def stop(process: asyncio.subprocess.Process) -> int:
    """Send SIGTERM to a process, and return its exit status."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
    return await process.wait()


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout: float = READY_SECONDS
) -> None:
    """Poll a condition until it holds; an `OSError` counts as not holding.

    Raises
    ------
    TimeoutError
        If it does not hold within ``timeout`` seconds.
    """
    async with asyncio.timeout(timeout):
        while True:
            with contextlib.suppress(OSError):
                if await condition():
                    return
            await asyncio.sleep(POLL_SECONDS)


async def operator_call(port: int, method: Callable[[OperatorStub], Awaitable[T]]) -> T:
    """Make one call to a node's operator API."""
    channel = Channel("127.0.0.1", port)
    try:
        return await method(OperatorStub(channel))
    finally:
        channel.close()


async def post_json(url: str, value: object) -> None:
    """Post a value as JSON."""
    async with aiohttp.ClientSession() as session, session.post(url, json=value) as response:
        await response.read()
