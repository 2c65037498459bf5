"""Sends requests to random nodes during a soak test and checks the responses."""

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
    from standin.mesh_cluster import MeshInstance

# Statuses that guarantee that a request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Statuses that a valid request must not get.
INVALID_REQUEST_STATUSES = frozenset({400, 404, 413})
CALL_SECONDS = 1.5
# The only path whose requests crash backend servers, and how a response body begins once the
# nodes refuse such requests.
CRASHING_PATH = "/read/crashing"
CRASHING_WORK_PREFIX = f"{ResultCode.WORK_ENDS_SERVERS.number} ".encode()
CALLS_PER_SECOND = 60.0


@dataclass(slots=True)
class SoakResults:
    """Results of a soak test.

    Attributes
    ----------
    statuses : Counter of int
        Responses by status; 0 where there was none.
    promised_not_executed : set of str
        Ids of the requests whose callers were told that they were not executed.
    violations : list of str
        The guarantees that were violated.
    faults : Counter of str
        Number of injected faults by name.
    repeats : int
        Most repeats of a service in any window.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    promised_not_executed: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    repeats: int = 0


class SoakLoad:
    """Load generator: sends requests to random nodes and records the responses.

    Parameters
    ----------
    cluster : MeshCluster
        The cluster under test.
    randomness : random.Random
        Draws the node, the service and the kind of each request, and the delays between them.
    results : SoakResults
        Receives statuses and violated guarantees.
    """

    def __init__(
        self, cluster: MeshCluster, randomness: random.Random, results: SoakResults
    ) -> None:
        self._cluster = cluster
        self._random = randomness
        self._results = results
        self._services = sorted(cluster.deployment.count_by_service)
        self._sent = 0
        self.requested: list[tuple[str, float]] = []
        self.stopped = False

    async def run(self) -> None:
        """Send requests until stopped, then wait for those in flight."""
        calls: set[asyncio.Task[None]] = set()
        while not self.stopped:
            call = asyncio.create_task(self._send_random())
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(self._random.expovariate(CALLS_PER_SECOND))
        await asyncio.gather(*calls)

    async def _send_random(self) -> None:
        instance = self._random.choice(self._cluster.instances)
        service = self._random.choice(self._services)
        await self._send_read_or_write(instance, service, unsafe=self._random.random() < 0.5)

    async def _send_read_or_write(
        self, instance: MeshInstance, service: str, *, unsafe: bool
    ) -> int:
        return await self.send(instance, service, "/write/x" if unsafe else "/read/x")

    async def send(self, instance: MeshInstance, service: str, path: str) -> int:
        """Send a request to a node; return the status of the response, or 0 if there was none."""
        self._sent += 1
        self.requested.append((service, time.monotonic()))
        request_id = f"q{self._sent}"
        method = b"POST" if path.startswith("/write/") else b"GET"
        headers = [
            (b"host", f"{service}.example".encode()),
            (b"x-request-id", request_id.encode()),
            (b"x-deadline-ms", b"%d" % int(CALL_SECONDS * 1000)),
        ]
        address = parse_address(instance.callers)
        try:
            connection = await self._cluster.pool.acquire(address, 0.5)
        except UnreachableError:
            self._results.statuses[0] += 1
            return 0
        response = await exchange_buffered(
            connection, method, path.encode(), headers, b"b" * 50, timeout=CALL_SECONDS + 0.5
        )
        if isinstance(response, Lost):
            self._results.statuses[0] += 1
            return 0
        self._cluster.pool.keep(address, connection)
        head, body = response
        self._results.statuses[head.status] += 1
        if head.status == 200 and body != f"body of {request_id}".encode():
            self._results.violations.append(
                f"{request_id}: got the response of another request, {body!r}"
            )
        if head.status in NOT_EXECUTED_STATUSES:
            self._results.promised_not_executed.add(request_id)
        if body.startswith(CRASHING_WORK_PREFIX) and path != CRASHING_PATH:
            self._results.violations.append(
                f"{request_id}: refused as crashing work, though it never crashed a server"
            )
        if head.status in INVALID_REQUEST_STATUSES:
            self._results.violations.append(f"{request_id}: valid request got status {head.status}")
        return head.status

    async def serves(self, instance: MeshInstance, service: str) -> bool:
        """Return whether a node currently answers requests for a service with status 200."""
        path = b"/read/x"
        headers = [
            (b"host", f"{service}.example".encode()),
            (b"x-request-id", f"check{self._sent}".encode()),
            (b"x-deadline-ms", b"1000"),
        ]
        self._sent += 1
        self.requested.append((service, time.monotonic()))
        try:
            connection = await self._cluster.pool.acquire(parse_address(instance.callers), 0.5)
        except UnreachableError:
            return False
        response = await exchange_buffered(connection, b"GET", path, headers, b"", timeout=1.5)
        connection.close()
        return not isinstance(response, Lost) and response[0].status == 200
