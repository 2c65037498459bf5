"""What the soak's callers send, and what they get."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from hoisthook.exceptions import UnreachableError
from hoisthook.identity import parse_address
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.node.call import Lost
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    import random

    from standin.mesh_cluster import MeshCluster
    from standin.mesh_cluster import MeshPlace

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses that a proper request must not get.
DENIALS = frozenset({400, 404, 413})
CALL_SECONDS = 1.5
# The one work under which backend servers end, and what its callers are told then.
CRASHING_PATH = "/read/crashing"
REFUSED_WORK = f"{ResultCode.WORK_ENDS_SERVERS.number} ".encode()
CALLS_PER_SECOND = 60.0


@dataclass(slots=True)
class Findings:
    """What was sent, what came back, and what breaks a promise."""

    statuses: Counter[int] = field(default_factory=Counter)
    promised: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    # In the fullest window of any service.
    repeats: int = 0


class SoakLoad:
    """Callers at random nodes.

    Parameters
    ----------
    cluster : MeshCluster
        Where they call.
    randomness : random.Random
        Draws where, what and when.
    findings : Findings
        Gets what comes back.
    """

    def __init__(self, cluster: MeshCluster, randomness: random.Random, findings: Findings) -> None:
        self._cluster = cluster
        self._random = randomness
        self._findings = findings
        self._services = sorted(cluster.deployment.count_by_service)
        self._sent = 0
        self.requested: list[tuple[str, float]] = []
        self.stopped = False

    async def run(self) -> None:
        """Call until stopped, then wait for the calls under way."""
        calls: set[asyncio.Task[None]] = set()
        while not self.stopped:
            call = asyncio.create_task(self._call_somewhere())
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(self._random.expovariate(CALLS_PER_SECOND))
        await asyncio.gather(*calls)

    async def _call_somewhere(self) -> None:
        place = self._random.choice(self._cluster.places)
        service = self._random.choice(self._services)
        await self._call(place, service, unsafe=self._random.random() < 0.5)

    async def _call(self, place: MeshPlace, service: str, *, unsafe: bool) -> int:
        return await self.send(place, service, "/write/x" if unsafe else "/read/x")

    async def send(self, place: MeshPlace, service: str, path: str) -> int:
        """Send a request through a node; return its status, 0 for none."""
        self._sent += 1
        self.requested.append((service, time.monotonic()))
        name = f"q{self._sent}"
        method = b"POST" if path.startswith("/write/") else b"GET"
        headers = [
            (b"host", f"{service}.example".encode()),
            (b"x-request-id", name.encode()),
            (b"x-deadline-ms", b"%d" % int(CALL_SECONDS * 1000)),
        ]
        address = parse_address(place.callers)
        try:
            connection = await self._cluster.pool.acquire(address, 0.5)
        except UnreachableError:
            self._findings.statuses[0] += 1
            return 0
        answered = await exchange_buffered(
            connection, method, path.encode(), headers, b"b" * 50, timeout=CALL_SECONDS + 0.5
        )
        if isinstance(answered, Lost):
            self._findings.statuses[0] += 1
            return 0
        self._cluster.pool.keep(address, connection)
        head, body = answered
        self._findings.statuses[head.status] += 1
        if head.status == 200 and body != f"body of {name}".encode():
            self._findings.broken.append(f"{name}: another request's answer, {body!r}")
        if head.status in NOT_RUN_STATUSES:
            self._findings.promised.add(name)
        if body.startswith(REFUSED_WORK) and path != CRASHING_PATH:
            self._findings.broken.append(f"{name}: refused for what another request did")
        if head.status in DENIALS:
            self._findings.broken.append(f"{name}: a proper request got {head.status}")
        return head.status

    async def serves(self, place: MeshPlace, service: str) -> bool:
        """Return whether a node's callers get an answer of a service now."""
        path = b"/read/x"
        headers = [
            (b"host", f"{service}.example".encode()),
            (b"x-request-id", f"check{self._sent}".encode()),
            (b"x-deadline-ms", b"1000"),
        ]
        self._sent += 1
        self.requested.append((service, time.monotonic()))
        try:
            connection = await self._cluster.pool.acquire(parse_address(place.callers), 0.5)
        except UnreachableError:
            return False
        answered = await exchange_buffered(connection, b"GET", path, headers, b"", timeout=1.5)
        connection.close()
        return not isinstance(answered, Lost) and answered[0].status == 200
