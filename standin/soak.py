"""Runs real nodes under random faults and checks what callers and backend servers see.

Usage: python -m standin.soak [--seed N] [--seeds COUNT] [--seconds S]

Prints a line a seed; status 1 if a promise was broken. Faults come from outside the
nodes: signals, proxies between nodes and to the store, outages of the store, drains and
spoiled answers. The same seed draws the same faults at the same moments; what the
machine makes of them may differ.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec

from hoisthook.exceptions import UnreachableError
from hoisthook.identity import format_address
from hoisthook.identity import parse_address
from hoisthook.mesh.whole_exchange import exchange_whole
from hoisthook.node.call import Lost
from standin.deployment import Deployment
from standin.fault_proxy import FaultProxy
from standin.fault_proxy import Link
from standin.mesh_backend import Fault
from standin.mesh_cluster import MeshCluster
from standin.mesh_store import Outage
from standin.mesh_store import split_record
from standin.mesh_system import RouteOptions

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from standin.mesh_cluster import MeshPlace

SMALL = Deployment("soak", ("one", "two"), {"shop": 3, "bank": 3}, slots=4)
NODES_TOPIC = "keyed.nodes"
PROMISES = frozenset({408, 421, 429, 503})
FAULT_GAP_SECONDS = 0.4
# A drain's acknowledgement to the last request that may arrive.
DRAIN_SECONDS = 2.0
# From the last fault to normal service, and from a version to its effect.
RECOVERY_SECONDS = 12.0
CALL_SECONDS = 1.5


@dataclass(slots=True)
class Findings:
    """What was sent, what came back, and what breaks a promise."""

    statuses: Counter[int] = field(default_factory=Counter)
    promised: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)


class Soak:
    """One seed's run.

    Parameters
    ----------
    seed : int
        Draws faults, victims and moments.
    seconds : float
        How long faults go on.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._sent = 0
        self._version = 1
        self._proxy_by_peers: dict[str, FaultProxy] = {}
        self._store_proxies: list[FaultProxy] = []
        self._drained_at: dict[str, float] = {}
        self._faulty = True
        self.findings = Findings()
        self.cluster = MeshCluster(SMALL)

    async def run(self) -> Findings:
        """Play the seed and return what was found."""
        await self._interpose()
        try:
            await self.cluster.start()
            await asyncio.gather(self._load(), self._trouble())
            self._check_runs()
        finally:
            await self.cluster.close()
            for proxy in [*self._proxy_by_peers.values(), *self._store_proxies]:
                proxy.close()
        return self.findings

    async def _interpose(self) -> None:
        """Put a proxy before the store for each node, and before each node for its peers."""
        start = self.cluster.start_node

        async def start_node(place: MeshPlace) -> None:
            if place.peers not in self._proxy_by_peers:
                proxy = FaultProxy(parse_address(place.peers))
                await proxy.start()
                self._proxy_by_peers[place.peers] = proxy
                store = FaultProxy(self.cluster.store.address)
                await store.start()
                self._store_proxies.append(store)
                place.store = format_address(store.address)
            await start(place)

        self.cluster.start_node = start_node  # type: ignore[method-assign]
        self.cluster.store.on_append = self._rewrite

    def _rewrite(self, topic: str, content: bytes) -> bytes:
        """Have peers reach each other through the proxies."""
        if topic != NODES_TOPIC:
            return content
        key, value = split_record(content)
        record = msgspec.json.decode(value, type=dict[str, str])
        proxy = self._proxy_by_peers.get(record["address"])
        if proxy is not None:
            record["address"] = format_address(proxy.address)
        return content[: 1 + len(key)] + msgspec.json.encode(record)

    async def _load(self) -> None:
        calls: set[asyncio.Task[None]] = set()
        while self._faulty:
            call = asyncio.create_task(self._call_somewhere())
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(self._random.expovariate(60.0))
        await asyncio.gather(*calls)

    async def _call_somewhere(self) -> None:
        place = self._random.choice(self.cluster.places)
        service = self._random.choice(sorted(SMALL.count_by_service))
        await self._call(place, service, unsafe=self._random.random() < 0.5)

    async def _call(self, place: MeshPlace, service: str, *, unsafe: bool) -> int:
        self._sent += 1
        name = f"q{self._sent}"
        method, path = (b"POST", "/write/x") if unsafe else (b"GET", "/read/x")
        headers = [
            (b"host", f"{service}.example".encode()),
            (b"x-request-id", name.encode()),
            (b"x-deadline-ms", b"%d" % int(CALL_SECONDS * 1000)),
        ]
        address = parse_address(place.callers)
        try:
            connection = await self.cluster.pool.acquire(address, 0.5)
        except UnreachableError:
            self.findings.statuses[0] += 1
            return 0
        answered = await exchange_whole(
            connection, method, path.encode(), headers, b"b" * 50, timeout=CALL_SECONDS + 0.5
        )
        if isinstance(answered, Lost):
            self.findings.statuses[0] += 1
            return 0
        self.cluster.pool.keep(address, connection)
        head, body = answered
        self.findings.statuses[head.status] += 1
        if head.status == 200 and body != f"body of {name}".encode():
            self.findings.broken.append(f"{name}: another request's answer, {body!r}")
        if head.status in PROMISES:
            self.findings.promised.add(name)
        if head.status in (400, 404, 413):
            self.findings.broken.append(f"{name}: a proper request got {head.status}")
        return head.status

    async def _trouble(self) -> None:
        end = time.monotonic() + self._seconds
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._terminate,
            self._freeze,
            self._reload,
            self._cut_peers,
            self._reset_peers,
            self._store_outage,
            self._cut_store,
            self._spoil,
            self._drain,
            self._change,
            self._slow,
        ]
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            kind = self._random.choice(kinds)
            self.findings.faults[kind.__name__.strip("_")] += 1
            running.add(asyncio.ensure_future(kind()))
            await asyncio.sleep(self._random.random() * 2 * FAULT_GAP_SECONDS)
        await asyncio.gather(*running)
        self._heal()
        await self._check_recovery()
        self._faulty = False

    def _place(self) -> MeshPlace:
        return self._random.choice(self.cluster.places)

    async def _kill(self) -> None:
        place = self._place()
        await self.cluster.kill(place)
        await asyncio.sleep(0.3)
        await self._start_again(place)

    async def _terminate(self) -> None:
        place = self._place()
        if place.process is not None and place.process.returncode is None:
            await self.cluster.stop(place)
        await self._start_again(place)

    async def _start_again(self, place: MeshPlace) -> None:
        if place.process is None or place.process.returncode is not None:
            await self.cluster.start_node(place)

    async def _freeze(self) -> None:
        place, seconds = self._place(), 0.3 + self._random.random()
        self._signal(place, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._signal(place, signal.SIGCONT)

    async def _reload(self) -> None:
        self._signal(self._place(), signal.SIGHUP)

    def _signal(self, place: MeshPlace, number: signal.Signals) -> None:
        if place.process is not None and place.process.returncode is None:
            place.process.send_signal(number)

    async def _cut_peers(self) -> None:
        proxy = self._random.choice(list(self._proxy_by_peers.values()))
        await self._harm(proxy)

    async def _reset_peers(self) -> None:
        self._random.choice(list(self._proxy_by_peers.values())).reset()

    async def _cut_store(self) -> None:
        await self._harm(self._random.choice(self._store_proxies))

    async def _harm(self, proxy: FaultProxy) -> None:
        proxy.link = self._random.choice([Link.DELAYED, Link.SILENT, Link.ONE_WAY, Link.REFUSED])
        await asyncio.sleep(0.3 + 2 * self._random.random())
        proxy.reset()
        proxy.link = Link.SOUND

    async def _store_outage(self) -> None:
        self.cluster.store.outage = self._random.choice(
            [Outage.BUSY, Outage.RESET, Outage.SILENT, Outage.ANSWER_LOST]
        )
        await asyncio.sleep(0.5 + 2 * self._random.random())
        self.cluster.store.outage = Outage.NONE

    async def _spoil(self) -> None:
        backend = self._place().backend
        backend.fault = self._random.choice([fault for fault in Fault if fault is not Fault.NONE])
        await asyncio.sleep(0.3 + self._random.random())
        backend.fault = Fault.NONE

    async def _slow(self) -> None:
        backend = self._place().backend
        backend.slowdown, backend.work_seconds = 400, 0.1
        await asyncio.sleep(0.3 + self._random.random())
        backend.slowdown, backend.work_seconds = 100, 0.005

    async def _drain(self) -> None:
        """Have a backend server drain; none may arrive later than the bound after its word."""
        place = self._place()
        if place.state != "ready":
            return
        place.state = "draining"
        # As the platform's pages say: the health check fails while a backend server is leaving.
        place.backend.healthy = False
        try:
            status = await place.backend.beat(parse_address(place.announcements), state="draining")
        except (UnreachableError, AssertionError):
            status = 0
        acknowledged = time.monotonic()
        await asyncio.sleep(DRAIN_SECONDS + 1.0)
        if status == 200:
            late = [m for m in place.backend.arrival_times if m > acknowledged + DRAIN_SECONDS]
            if late:
                self.findings.broken.append(f"{place.name}: {len(late)} requests after its drain")
        place.backend.healthy = True
        place.state = "ready"

    async def _change(self) -> None:
        self._version += 1
        self.cluster.publish(self._version)

    def _heal(self) -> None:
        self.cluster.store.outage = Outage.NONE
        for proxy in [*self._proxy_by_peers.values(), *self._store_proxies]:
            proxy.link = Link.SOUND
        for place in self.cluster.places:
            place.state = "ready"
            place.backend.healthy = True
            place.backend.fault = Fault.NONE
            place.backend.work_seconds = 0.005
            place.backend.slowdown = 100

    async def _check_recovery(self) -> None:
        """All nodes serve all services by the newest version within the bound."""
        self._version += 1
        self.cluster.publish(self._version, [RouteOptions("shop", host="new.example")])
        try:
            async with asyncio.timeout(RECOVERY_SECONDS):
                for place in self.cluster.places:
                    for service in [*SMALL.count_by_service, "new"]:
                        while not await self._serves(place, service):
                            await asyncio.sleep(0.1)
        except TimeoutError:
            self.findings.broken.append("not all served again in time")

    async def _serves(self, place: MeshPlace, service: str) -> bool:
        path = b"/read/x"
        headers = [
            (b"host", f"{service}.example".encode()),
            (b"x-request-id", f"check{self._sent}".encode()),
            (b"x-deadline-ms", b"1000"),
        ]
        self._sent += 1
        try:
            connection = await self.cluster.pool.acquire(parse_address(place.callers), 0.5)
        except UnreachableError:
            return False
        answered = await exchange_whole(connection, b"GET", path, headers, b"", timeout=1.5)
        connection.close()
        return not isinstance(answered, Lost) and answered[0].status == 200

    def _check_runs(self) -> None:
        runs = Counter(run for place in self.cluster.places for run in place.backend.runs)
        unsafe = {
            arrival.request_id
            for place in self.cluster.places
            for arrival in place.backend.arrivals
            if arrival.target.startswith(b"/write/")
        }
        for name in sorted(unsafe):
            if runs[name] > 1:
                self.findings.broken.append(f"{name}: ran {runs[name]} times")
            if runs[name] and name in self.findings.promised:
                self.findings.broken.append(f"{name}: ran although refused")


def main() -> int:
    """Run the seeds that the arguments name."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many, counting up")
    parser.add_argument("--seconds", type=float, default=10.0, help="how long faults go on")
    arguments = parser.parse_args()
    # Ended from outside, it still ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        soak = Soak(seed, arguments.seconds)
        findings = asyncio.run(soak.run())
        verdict = "; ".join(findings.broken[:5]) or "kept"
        sys.stdout.write(
            f"seed {seed}: {verdict}; answers {dict(findings.statuses)}"
            f" faults {sum(findings.faults.values())}; logs {soak.cluster.folder}\n"
        )
        sys.stdout.flush()
        failed += bool(findings.broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
