"""Starts, signals and restarts the nodes, each in a process of its own, as the platform does."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from common.template import fill
from common.wire import HOST
from common.wire import call_once
from common.wire import encode_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from common.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
RESTART_SECONDS = 0.5
READY_SECONDS = 30.0
ROLE = "node"
FIRST_PORT, LAST_PORT = 12_000, 30_000
_PORTS = iter(range(FIRST_PORT + os.getpid() * 97 % 15_000, LAST_PORT))
BOUNDS = {
    "stableWindowS": 3,
    "drainS": 2,
    "graceS": 6,
    "configApplyS": 2,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 58,
    "probesPerS": 60,
}


class CannotRunError(Exception):
    """The script could not run the case."""


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that nothing listens on.

    They lie below the range that the system assigns to outgoing connections, and none is returned
    twice.
    """
    found: list[int] = []
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


@dataclass
class Machine:
    """A machine with a node and a backend server.

    Attributes
    ----------
    outbound, inbound, ready, control, app, metrics : int
        Ports.
    started_at : float
        When the node's process was started last.
    """

    name: str
    service: str
    zone: str
    outbound: int
    inbound: int
    ready: int
    control: int
    app: int
    metrics: int
    process: asyncio.subprocess.Process | None = None
    bootstrap: bool = True
    started_at: float = 0.0

    @property
    def pid(self) -> int:
        """Return the id of the node's process."""
        assert self.process is not None
        return self.process.pid


class Platform:
    """The machines of a small deployment.

    Parameters
    ----------
    store : int
        Port of the store.
    record : Record
        Receives what is done to the processes.
    bounds : dict, optional
        Bounds in place of the usual ones or besides them.
    """

    def __init__(self, store: int, record: Record, bounds: dict[str, Any] | None = None) -> None:
        self.machines: list[Machine] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._store = store
        self._record = record
        self._bounds = {**BOUNDS, **(bounds or {})}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._role = deploy["roles"][ROLE]
        self._template = (ROOT / self._role["template"]).read_text()
        self._watches: list[asyncio.Task[None]] = []
        # A script that is told to stop ends its processes too.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)

    def add(self, name: str, service: str, zone: str) -> Machine:
        """Add a machine whose node is not started yet."""
        machine = Machine(name, service, zone, *free_ports(6))
        self.machines.append(machine)
        return machine

    async def start(self, machine: Machine) -> None:
        """Start the node of a machine."""
        path = self.folder / f"{machine.name}.toml"
        text = fill(self._template, self._fields(machine))
        path.write_text(text.replace(f"{HOST}:9464", f"{HOST}:{machine.metrics}"))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "HOISTHOOK_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self._role["run"].split(), stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        machine.bootstrap = False
        machine.started_at = time.monotonic()
        self._record.write("node_started", node=machine.name, process=machine.pid)

    async def start_all(self) -> None:
        """Start all nodes and wait until they are ready."""
        for machine in self.machines:
            await self.start(machine)
        for machine in self.machines:
            await self.until_ready(machine)

    async def until_ready(self, machine: Machine) -> float:
        """Wait until a node says that it is ready; return the time."""
        data = encode_request("GET", "/-/readyz", {"Host": "node"})
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            response = await call_once(machine.ready, data, 1.0)
            if response is not None and response.status == 200:
                self._record.write("node_ready", node=machine.name)
                return time.monotonic()
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{machine.name} did not become ready")

    async def kill(self, machine: Machine) -> float:
        """Kill the node of a machine and await its end; return the time."""
        process = machine.process
        assert process is not None
        killed_at = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGKILL)
        await process.wait()
        self._record.write("node_killed", node=machine.name, process=process.pid)
        return killed_at

    async def restart(self, machine: Machine) -> None:
        """Start a node again after the platform's short delay."""
        await asyncio.sleep(RESTART_SECONDS)
        await self.start(machine)

    def watch(self, machine: Machine, ended: Callable[[Machine, int], None]) -> None:
        """Have a node that ends by itself started again, and ``ended`` called with its status."""

        async def run() -> None:
            while True:
                assert machine.process is not None
                status = await machine.process.wait()
                ended(machine, status)
                await self.restart(machine)

        self._watches.append(asyncio.get_running_loop().create_task(run()))

    async def close(self) -> None:
        """End all processes."""
        for watch in self._watches:
            watch.cancel()
        await asyncio.sleep(0)
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.kill()
                await machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _fields(self, machine: Machine) -> dict[str, Any]:
        return {
            "nodeName": machine.name,
            "zone": machine.zone,
            "service": machine.service,
            "bootstrap": machine.bootstrap,
            "ip": HOST,
            "app": f"{HOST}:{machine.app}",
            "limits": {"linkMbps": 1000.0, "memoryMb": 300},
            "listen": {
                "outbound": f"{HOST}:{machine.outbound}",
                "inbound": f"{HOST}:{machine.inbound}",
                "ready": f"{HOST}:{machine.ready}",
                "control": f"{HOST}:{machine.control}",
            },
            "platform": {"address": f"{HOST}:{self._store}"},
            "bounds": self._bounds,
        }


def route(
    name: str, service: str, *, kind: str, timeout: float, target: float, priority: int = 1
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "type": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": f"{service}.example",
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutS": timeout,
            "targetLatencyS": target,
            "priority": priority,
            "service": service,
            "maxAttempts": 2,
        },
    }


def service_spec(name: str) -> dict[str, Any]:
    """Return a service of a configuration."""
    return {
        "type": "services",
        "metadata": {"name": name},
        "spec": {"healthPath": "/healthz", "maxConnections": 220},
    }


LIMITS: dict[str, Any] = {
    "type": "limits",
    "metadata": {},
    "spec": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
}
