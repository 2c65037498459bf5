"""A sound backend server of the platform, as the pages describe it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from review.second.http_message import encode
from review.second.http_message import read_message

if TYPE_CHECKING:
    from review.second.http_message import Message
    from review.second.record import Record

HEALTH_PATH = "/healthz"
HEARTBEAT_SECONDS = 1.5
ACKNOWLEDGE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a backend server ran, and when."""

    request_id: str
    path: str
    at: float


class BackendServer:
    """Runs requests with its slots, answers 421 to those for another id, and sends heartbeats.

    Parameters
    ----------
    service, instance : str
        Its service, and the id of this start.
    address : str
        Address that it listens on.
    control : str
        Address of the node on its machine, for heartbeats.
    zone : str
        Its zone.
    record : Record
        Receives a line for each request that it runs or rejects.
    """

    slots = 8
    work_seconds = 0.02

    def __init__(
        self, service: str, instance: str, address: str, control: str, zone: str, record: Record
    ) -> None:
        self.service = service
        self.instance = instance
        self.address = address
        self.control = control
        self.runs: list[Run] = []
        self.state = "ready"
        self.acknowledged_at: dict[str, float] = {}
        self._zone = zone
        self._record = record
        self._sequence = 0
        self._running = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeats: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None

    async def start(self, *, sends_heartbeats: bool = True) -> None:
        """Listen, and begin with the heartbeats unless the caller delivers them."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        if sends_heartbeats:
            self._heartbeats = asyncio.get_running_loop().create_task(self._send_heartbeats())
        self._record.line(f"server {self.instance} ({self.service}) starts at {self.address}")

    def crash(self) -> None:
        """End at once: nothing is sent any more, and all connections are reset."""
        if self._server is None:
            return
        self._record.line(f"server {self.instance} ({self.service}) ends")
        self._server.close()
        self._server = None
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def drain(self) -> None:
        """Report that it is leaving, with the next heartbeats too."""
        self.state = "draining"
        await self.send_heartbeat()

    async def send_heartbeat(self) -> int | None:
        """Send a heartbeat; return the status of the answer, None if there is none in time."""
        beat = self.next_heartbeat()
        return await self.deliver_heartbeat(beat)

    def next_heartbeat(self) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingS": 0,
            "sequence": self._sequence,
        }

    async def deliver_heartbeat(self, beat: dict[str, object]) -> int | None:
        """Deliver a heartbeat, which may have been sent earlier; return the answer's status."""
        host, _, port = self.control.rpartition(":")
        status = None
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(ACKNOWLEDGE_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    path = f"/-/Instances.Heartbeat/{self.instance}"
                    headers = {"Host": self.control, "Content-Type": "application/json"}
                    body = json.dumps(beat).encode()
                    writer.write(encode(f"POST {path} HTTP/1.1", headers, body))
                    status = (await read_message(reader)).status
                finally:
                    writer.transport.abort()
        at = self._record.line(
            f"heartbeat of {self.instance} ({beat['state']}, {beat['sequence']}): answer {status}"
        )
        if status is not None and 200 <= status < 300:
            self.acknowledged_at.setdefault(str(beat["state"]), at)
        return status

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self._answer(message))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _answer(self, message: Message) -> bytes:
        path = message.first_line.split(" ")[1]
        if path == HEALTH_PATH:
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            own = {"X-Instance-Id": self.instance, "X-Server-Load": self._load()}
            return encode(f"HTTP/1.1 {status}", own)
        request_id = message.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id, "X-Server-Load": self._load()}
        if not request_id:
            return encode("HTTP/1.1 400 Bad Request", {**headers, "X-Not-Executed": "1"})
        expected = message.headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            self._record.line(
                f"{request_id} {path} reaches {self.instance} ({self.service}), which is not"
                f" {expected}: 421"
            )
            headers["X-Instance-Id"] = self.instance
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        if self._running >= self.slots:
            headers["X-Not-Executed"] = "1"
            return encode("HTTP/1.1 503 Service Unavailable", headers)
        return await self._run(request_id, path, headers)

    async def _run(self, request_id: str, path: str, headers: dict[str, str]) -> bytes:
        at = self._record.line(f"{request_id} {path} is run by {self.instance} ({self.service})")
        self.runs.append(Run(request_id, path, at))
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self._running -= 1
        headers["X-Response-Signature"] = f"{self.instance}.{request_id}"
        headers["X-Server-Load"] = self._load()
        return encode("HTTP/1.1 200 OK", headers, f"{self.service} ran {request_id}".encode())

    def _load(self) -> str:
        return f"{self._running},0,{self.slots},100"
