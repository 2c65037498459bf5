"""Runs real nodes under random faults and checks what callers and backend servers see.

Usage: python -m standin.soak [--seed N] [--seeds COUNT] [--seconds S] [--crashing] [--rejecting]

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
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from hoisthook.exceptions import UnreachableError
from hoisthook.identity import format_address
from hoisthook.identity import parse_address
from hoisthook.mesh.crash_records import KEY_PREFIX as CRASH_PREFIX
from standin.deployment import Deployment
from standin.fault_proxy import FaultProxy
from standin.fault_proxy import Link
from standin.mesh_backend import Fault
from standin.mesh_cluster import MeshCluster
from standin.mesh_store import Outage
from standin.mesh_store import split_record
from standin.mesh_system import NODES_TOPIC
from standin.published_configuration import RouteOptions
from standin.soak_crashes import CrashingCaller
from standin.soak_load import Findings
from standin.soak_load import SoakLoad
from standin.soak_repeats import RejectingService
from standin.soak_repeats import check_repeats

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from standin.mesh_cluster import MeshPlace

SMALL = Deployment("soak", ("one", "two"), {"shop": 3, "bank": 3}, slots=4)
FAULT_GAP_SECONDS = 0.4
# A drain's acknowledgement to the last request that may arrive.
DRAIN_SECONDS = 2.0
# From the last fault to normal service, and from a version to its effect.
RECOVERY_SECONDS = 12.0
WORK_SECONDS = 0.005
# So long that something nearly always runs in a backend server as it ends.
WORK_BESIDE_CRASHES_SECONDS = 0.05


class Soak:
    """One seed's run.

    Parameters
    ----------
    seed : int
        Draws faults, victims and moments.
    seconds : float
        How long faults go on.
    crashing : bool
        Whether a request that ends backend servers comes again all the time besides.
    rejecting : bool
        Whether a service turns work away, and nodes are killed in series, all the time besides.
    """

    def __init__(
        self, seed: int, seconds: float, *, crashing: bool = False, rejecting: bool = False
    ) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._version = 1
        self._proxy_by_peers: dict[str, FaultProxy] = {}
        self._store_proxies: list[FaultProxy] = []
        self._drained_at: dict[str, float] = {}
        self.findings = Findings()
        self.cluster = MeshCluster(SMALL)
        self._load = SoakLoad(self.cluster, self._random, self.findings)
        self._crashing: CrashingCaller | None = None
        self._work_seconds = WORK_SECONDS
        self._rejecting: RejectingService | None = None
        if rejecting:
            self._rejecting = RejectingService(self.cluster, self._start_again, seed)
        if crashing:
            self._work_seconds = WORK_BESIDE_CRASHES_SECONDS
            self._crashing = CrashingCaller(self.cluster, self._load, seed, self.findings)

    async def run(self) -> Findings:
        """Play the seed and return what was found."""
        await self._interpose()
        try:
            await self.cluster.start()
            if self._crashing is not None:
                self._crashing.start(self._work_seconds)
            if self._rejecting is not None:
                self._rejecting.start()
            await asyncio.gather(self._load.run(), self._trouble())
            self._check_runs()
            check_repeats(self.cluster, self._load, self.findings)
            if self._crashing is not None:
                self._crashing.check()
        finally:
            if self._crashing is not None:
                self._crashing.stop()
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
        if key.startswith(CRASH_PREFIX):
            return content
        record = msgspec.json.decode(value, type=dict[str, str | float])
        proxy = self._proxy_by_peers.get(str(record["address"]))
        if proxy is not None:
            record["address"] = format_address(proxy.address)
        return content[: 1 + len(key)] + msgspec.json.encode(record)

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
        if self._rejecting is not None:
            await self._rejecting.stop()
        self._heal()
        await self._check_recovery()
        self._load.stopped = True

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
        backend.slowdown, backend.work_seconds = 100, self._work_seconds

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
            place.backend.work_seconds = self._work_seconds
            place.backend.slowdown = 100

    async def _check_recovery(self) -> None:
        """All nodes serve all services by the newest version within the bound."""
        self._version += 1
        self.cluster.publish(self._version, [RouteOptions("shop", host="new.example")])
        services = [*SMALL.count_by_service, "new"]
        unserved = deque((place, name) for place in self.cluster.places for name in services)
        try:
            async with asyncio.timeout(RECOVERY_SECONDS):
                while unserved:
                    if await self._load.serves(*unserved[0]):
                        unserved.popleft()
                    else:
                        await asyncio.sleep(0.1)
        except TimeoutError:
            place, service = unserved[0]
            told = f"not all served again in time: {service} at {self.cluster.describe(place)}"
            self.findings.broken.append(told)

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
    parser.add_argument("--crashing", action="store_true", help="with work that ends servers")
    parser.add_argument("--rejecting", action="store_true", help="with kills in series")
    arguments = parser.parse_args()
    # Ended from outside, it still ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        soak = Soak(
            seed,
            arguments.seconds,
            crashing=arguments.crashing,
            rejecting=arguments.rejecting,
        )
        findings = asyncio.run(soak.run())
        verdict = "; ".join(findings.broken[:5]) or "kept"
        sys.stdout.write(
            f"seed {seed}: {verdict}; answers {dict(findings.statuses)}"
            f" faults {sum(findings.faults.values())} repeats {findings.repeats};"
            f" logs {soak.cluster.folder}\n"
        )
        sys.stdout.flush()
        failed += bool(findings.broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
