"""A small deployment: the project's nodes as processes, with the platform's store stood in."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import shutil
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from review.second.http_message import encode
from review.second.http_message import read_message
from review.second.server import BackendServer
from standin.loopback_ports import free_address
from standin.mesh_store import StoreStandin

if TYPE_CHECKING:
    import signal

    from review.second.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
ROLE = "node"
READY_SECONDS = 30.0
# Those of the sites to-portail and sevaroster-kol.
BOUNDS = {
    "drainS": 2,
    "graceS": 6,
    "configApplyS": 2,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 58,
    "probesPerS": 60,
}
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


@dataclass(slots=True)
class Machine:
    """A machine with a node and a backend server."""

    name: str
    zone: str
    service: str
    app: str
    outbound: str
    inbound: str
    ready: str
    control: str
    server: BackendServer
    bootstrap: bool = True
    process: asyncio.subprocess.Process | None = None


class Deployment:
    """Machines with nodes and backend servers, the store, and the operator.

    Parameters
    ----------
    record : Record
        Receives what happens.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = StoreStandin()
        self.machines: list[Machine] = []
        self.store_address = ""
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"][ROLE]
        self._version = 0

    def plan(self, service: str, zone: str) -> Machine:
        """Add a machine with a backend server of a service."""
        number = len(self.machines) + 1
        app, control = free_address(), free_address()
        server = BackendServer(service, f"i-{number:04d}", app, control, zone, self.record)
        machine = Machine(
            name=f"sidecar-{zone}-{number}",
            zone=zone,
            service=service,
            app=app,
            outbound=free_address(),
            inbound=free_address(),
            ready=free_address(),
            control=control,
            server=server,
        )
        self.machines.append(machine)
        return machine

    async def start(self) -> None:
        """Start the store, the backend servers and the nodes; wait until all nodes are ready."""
        await self.store.start()
        host, port = self.store.address
        self.store_address = f"{host}:{port}"
        self.publish()
        for machine in self.machines:
            await self.start_node(machine)
        for machine in self.machines:
            await machine.server.start()
        async with asyncio.timeout(READY_SECONDS):
            for machine in self.machines:
                await self.until_ready(machine)
        self.record.say(f"{len(self.machines)} nodes are ready")

    async def close(self) -> None:
        """Kill all nodes and end the stand-ins."""
        for machine in self.machines:
            await self.kill(machine)
            machine.server.crash()
        self.store.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    def publish(self) -> None:
        """Publish the next configuration as the operator does: two routes for each service."""
        self._version += 1
        resources: list[dict[str, object]] = []
        for service in sorted({machine.service for machine in self.machines}):
            for kind in ("safe", "unsafe"):
                spec = {
                    "host": f"{service}.example",
                    "pathPrefix": f"/{kind}/",
                    "kind": kind,
                    "timeoutS": 1,
                    "targetLatencyS": 0.25,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                }
                metadata = {"name": f"r-{service}-{kind}"}
                resources.append({"type": "routes", "metadata": metadata, "spec": spec})
            traits = {"healthPath": "/healthz", "maxConnections": 220, "protocol": "h1"}
            resources.append({"type": "services", "metadata": {"name": service}, "spec": traits})
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        }
        resources.append({"type": "limits", "metadata": {}, "spec": limits})
        record = {"version": self._version, "baseVersion": 0, "resources": resources}
        self.store.put("keyed.op", "config", json.dumps(record).encode())
        self.record.line(f"the operator publishes configuration {self._version}")

    def write_settings(self, machine: Machine) -> Path:
        """Fill in the settings file of a node from the template of the deploy file."""
        fields: dict[str, object] = {
            "nodeName": machine.name,
            "zone": machine.zone,
            "service": machine.service,
            "bootstrap": machine.bootstrap,
            "ip": "127.0.0.1",
            "app": machine.app,
            "limits": {"linkMbps": 1000.0},
            "listen": {
                "outbound": machine.outbound,
                "inbound": machine.inbound,
                "ready": machine.ready,
                "control": machine.control,
            },
            "platform": {"address": self.store_address},
            "bounds": BOUNDS,
        }
        text = _render((ROOT / self._deploy["template"]).read_text(), fields)
        # All machines of this deployment have one address, and the port of the metrics is fixed.
        text = "\n".join(line for line in text.splitlines() if not line.startswith("metrics = "))
        path = self._folder / f"{machine.name}.toml"
        path.write_text(text)
        return path

    async def start_node(self, machine: Machine) -> None:
        """Start a node with the command of the deploy file."""
        path = self.write_settings(machine)
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["HOISTHOOK_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{machine.name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self._deploy["run"].split(" "), stdout=log, stderr=log, cwd=ROOT, env=environment
            )
        machine.bootstrap = False
        self.record.line(f"node {machine.name} is started, process {machine.process.pid}")

    async def kill(self, machine: Machine) -> None:
        """Kill a node."""
        process = machine.process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            self.record.line(f"node {machine.name} is killed")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a node."""
        assert machine.process is not None
        machine.process.send_signal(number)
        self.record.line(f"node {machine.name} gets {number.name}")

    async def until_ready(self, machine: Machine) -> None:
        """Wait until a node answers its readiness check with 200."""
        while not await self.is_ready(machine):
            await asyncio.sleep(0.05)

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a node answers its readiness check with 200."""
        host, _, port = machine.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(encode("GET /-/readyz HTTP/1.1", {"Host": machine.ready}))
                    return (await read_message(reader)).status == 200
                finally:
                    writer.transport.abort()
        except (OSError, EOFError, TimeoutError):
            return False

    def log_lines(self, machine: Machine, *events: str) -> list[str]:
        """Return the lines of a node's log that have one of the events."""
        lines = (self._folder / f"{machine.name}.log").read_text().splitlines()
        return [line for line in lines if any(f'"event":"{event}"' in line for event in events)]


def _render(template: str, fields: dict[str, object]) -> str:
    text = _SECTION.sub(
        lambda m: m.group(2) if _value(fields, m.group(1)) not in (None, False) else "", template
    )
    return _VALUE.sub(lambda m: _encoded(_value(fields, m.group(1)), m.group(2)), text)


def _value(fields: dict[str, object], name: str) -> object:
    value: object = fields
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def _encoded(value: object, as_json: str | None) -> str:
    if as_json:
        return json.dumps(value)
    return "" if value is None else str(value)
