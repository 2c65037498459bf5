"""A stand-in for a sound backend server, as the users' pages have it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections import deque
from typing import TYPE_CHECKING

from common.wire import HOST
from common.wire import Message
from common.wire import Server
from common.wire import call_once
from common.wire import encode_request
from common.wire import encode_response

if TYPE_CHECKING:
    from common.record import Record

HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0
QUEUE = 12


class Backend:
    """Runs requests in slots, tells its load and health, and sends heartbeats to its own node.

    Parameters
    ----------
    name : str
        Name in the record.
    service : str
        Its service.
    instance : str
        Id of its incarnation.
    port : int
        Port to listen on.
    control : int
        Port of its node for heartbeats.
    record : Record
        Receives what arrives, runs and ends.
    work : float
        Seconds that a request takes.
    slots : int
        Requests that it runs at once.

    Attributes
    ----------
    is_leaving : bool
        Whether it leaves; its health check then fails.
    runs : list
        Time, request id and caller service of each request that began to run.
    lost : list
        Ids of the requests that ran when it exited.
    acked : list
        Time and kind of each heartbeat or deregistration that was acknowledged.
    """

    def __init__(
        self,
        name: str,
        service: str,
        instance: str,
        port: int,
        control: int,
        record: Record,
        *,
        work: float = 0.08,
        slots: int = 6,
    ) -> None:
        self.name = name
        self.service = service
        self.instance = instance
        self.port = port
        self.control = control
        self.work = work
        self.slots = slots
        self.is_leaving = False
        self.runs: list[tuple[float, str]] = []
        self.lost: list[str] = []
        self.acked: list[tuple[float, str]] = []
        self._record = record
        self._sequence = 0
        self._running: set[str] = set()
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._server = Server(self._serve, keep_body=False)
        self._beats: asyncio.Task[None] | None = None
        self._late: set[asyncio.Task[int]] = set()

    async def start(self) -> None:
        """Listen and send heartbeats."""
        await self._server.start(self.port)
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    def exit(self) -> None:
        """End, with the requests that run."""
        self.lost = sorted(self._running)
        self._record.write("backend_exits", backend=self.name, running=self.lost)
        self.stop_heartbeats()
        self._server.close()

    def stop_heartbeats(self) -> None:
        """Send no further heartbeats; those on their way arrive."""
        if self._beats is not None:
            self._beats.cancel()

    async def _beat(self) -> None:
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def heartbeat_late(self, delay: float) -> None:
        """Send a heartbeat that states what holds now, and arrives after a delay."""
        self._late.add(asyncio.get_running_loop().create_task(self.heartbeat(delay)))

    async def heartbeat(self, delay: float = 0.0) -> int:
        """Send a heartbeat; return the status of the response, 0 if there is none."""
        self._sequence += 1
        sequence = self._sequence
        beat = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "z",
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.is_leaving else "ready",
            "coldRemainingS": 0,
            "sequence": sequence,
        }
        if delay:
            self._record.write("heartbeat_sent", backend=self.name, beat=beat, late_s=delay)
            await asyncio.sleep(delay)
        status = await self._tell("Heartbeat", json.dumps(beat).encode())
        if delay:
            self._record.write("heartbeat_arrived", backend=self.name, beat=beat, status=status)
        return status

    async def deregister(self) -> int:
        """Deregister; from now on the health check fails."""
        self.is_leaving = True
        self.stop_heartbeats()
        status = await self._tell("Deregister", b"")
        self._record.write("deregistered", backend=self.name, status=status)
        return status

    async def _tell(self, call: str, body: bytes) -> int:
        target = f"/-/Instances.{call}/{self.instance}"
        headers = {"Host": "node", "Content-Type": "application/json"}
        data = encode_request("POST", target, headers, body)
        response = await call_once(self.control, data, ACK_SECONDS)
        if response is None:
            return 0
        if response.status == 200:
            self.acked.append((time.monotonic(), call))
        return response.status

    async def _serve(self, request: Message, writer: asyncio.StreamWriter) -> bytes | None:
        if request.target == "/healthz":
            headers = {"X-Instance-Id": self.instance, **self._load()}
            return encode_response(503 if self.is_leaving else 200, headers)
        name = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            return encode_response(421, {"X-Instance-Id": self.instance, "X-Request-Id": name})
        if len(self._running) >= self.slots:
            if len(self._waiting) >= QUEUE:
                headers = {"X-Not-Executed": "1", "X-Request-Id": name, **self._load()}
                return encode_response(503, headers)
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        return await self._run(request, name)

    async def _run(self, request: Message, name: str) -> bytes:
        self.runs.append((time.monotonic(), name))
        self._running.add(name)
        self._record.write(
            "runs", backend=self.name, instance=self.instance, request=name, bytes=request.size
        )
        try:
            await asyncio.sleep(self.work)
        finally:
            self._running.discard(name)
            with contextlib.suppress(IndexError):
                turn = self._waiting.popleft()
                if not turn.done():
                    turn.set_result(None)
        headers = {"X-Request-Id": name, "X-Response-Signature": f"s.{name}", **self._load()}
        return encode_response(200, headers, f"body of {name}".encode())

    def _load(self) -> dict[str, str]:
        load = f"{len(self._running)},{len(self._waiting)},{self.slots},100"
        return {"X-Server-Load": load}
