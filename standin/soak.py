"""Soak test: runs real nodes under random faults and checks what callers and servers observe.

Usage: python -m standin.soak [--seed N] [--seeds COUNT] [--seconds S] [--crashing] [--rejecting]
           [--limiting] [--departing] [--reusing]

Prints one line per seed; the exit status is 1 if a guarantee was violated. Faults are
injected from outside the nodes: signals, proxies between nodes and in front of the store,
outages of the store, drains and corrupt answers. The same seed draws the same faults and
the same delays between them; their effect may differ from run to run, since the nodes are
real processes.
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
from hoisthook.mesh.withdrawal_records import KEY_PREFIX as WITHDRAWAL_PREFIX
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
from standin.soak_departures import DepartingServers
from standin.soak_limits import LimitingServers
from standin.soak_load import SoakLoad
from standin.soak_load import SoakResults
from standin.soak_repeats import RejectingService
from standin.soak_repeats import check_repeats
from standin.soak_reuse import ReusedAddresses

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from standin.mesh_cluster import MeshInstance
    from standin.soak_series import DisturbanceSeries

SMALL = Deployment("soak", ("one", "two"), {"shop": 3, "bank": 3}, slots=4)
FAULT_GAP_SECONDS = 0.4
# Pause after which the platform starts a process again that has ended.
RESTART_SECONDS = 0.3
# Longest time after a drain is acknowledged during which requests may still arrive.
DRAIN_SECONDS = 2.0
# Longest time from the last fault to normal service, and from publishing a configuration
# version until it takes effect.
RECOVERY_SECONDS = 12.0
WORK_SECONDS = 0.005
# Long enough that a backend server is nearly always executing a request when it crashes.
WORK_WITH_CRASHES_SECONDS = 0.05


class Soak:
    """The soak test of one seed.

    Parameters
    ----------
    seed : int
        Seeds the choice of the faults, of the affected instances and of the delays.
    seconds : float
        How long faults are injected, in seconds.
    crashing : bool
        Whether a request that crashes backend servers is also sent repeatedly.
    rejecting : bool
        Whether, in addition, a service rejects most requests while half of the nodes are killed
        repeatedly.
    limiting : bool
        Whether, in addition, backend servers name limits, and leave by their answers.
    departing : bool
        Whether, in addition, backend servers deregister while heartbeats arrive late.
    reusing : bool
        Whether, in addition, addresses of backend servers go to another service for a while.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        *,
        crashing: bool = False,
        rejecting: bool = False,
        limiting: bool = False,
        departing: bool = False,
        reusing: bool = False,
    ) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._version = 1
        self._proxy_by_peer_address: dict[str, FaultProxy] = {}
        self._store_proxies: list[FaultProxy] = []
        self._drained_at: dict[str, float] = {}
        self.results = SoakResults()
        self.cluster = MeshCluster(SMALL)
        self._load = SoakLoad(self.cluster, self._random, self.results)
        self._crashing: CrashingCaller | None = None
        self._work_seconds = WORK_SECONDS
        self._rejecting: RejectingService | None = None
        self._series: list[DisturbanceSeries] = []
        if limiting:
            self._series.append(LimitingServers(self.cluster, seed, self.results))
        for is_wanted, series in ((departing, DepartingServers), (reusing, ReusedAddresses)):
            if is_wanted:
                self._series.append(series(self.cluster, self._restart_if_down, seed, self.results))
        if rejecting:
            self._rejecting = RejectingService(self.cluster, self._restart_if_down, seed)
        if crashing:
            self._work_seconds = WORK_WITH_CRASHES_SECONDS
            self._crashing = CrashingCaller(self.cluster, self._load, seed, self.results)

    async def run(self) -> SoakResults:
        """Run the test and return its results."""
        await self._insert_proxies()
        try:
            await self.cluster.start()
            if self._crashing is not None:
                self._crashing.start(self._work_seconds)
            if self._rejecting is not None:
                self._rejecting.start()
            for series in self._series:
                series.start()
            await asyncio.gather(self._load.run(), self._inject_faults())
            self._check_executions()
            check_repeats(self.cluster, self._load, self.results)
            if self._crashing is not None:
                self._crashing.check()
        finally:
            if self._crashing is not None:
                self._crashing.stop()
            await self.cluster.close()
            for proxy in [*self._proxy_by_peer_address.values(), *self._store_proxies]:
                proxy.close()
        return self.results

    async def _insert_proxies(self) -> None:
        """Put a proxy between each node and the store, and between each node and its peers."""
        start = self.cluster.start_node

        async def start_node(instance: MeshInstance) -> None:
            if instance.peers not in self._proxy_by_peer_address:
                proxy = FaultProxy(parse_address(instance.peers))
                await proxy.start()
                self._proxy_by_peer_address[instance.peers] = proxy
                store = FaultProxy(self.cluster.store.address)
                await store.start()
                self._store_proxies.append(store)
                instance.store = format_address(store.address)
            await start(instance)

        self.cluster.start_node = start_node  # type: ignore[method-assign]
        self.cluster.store.on_append = self._rewrite_address

    def _rewrite_address(self, topic: str, content: bytes) -> bytes:
        """Replace a node's address in its record, so that its peers connect through its proxy."""
        if topic != NODES_TOPIC:
            return content
        key, value = split_record(content)
        if key.startswith((CRASH_PREFIX, WITHDRAWAL_PREFIX)):
            return content
        record = msgspec.json.decode(value, type=dict[str, str | float])
        proxy = self._proxy_by_peer_address.get(str(record["address"]))
        if proxy is not None:
            record["address"] = format_address(proxy.address)
        return content[: 1 + len(key)] + msgspec.json.encode(record)

    async def _inject_faults(self) -> None:
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
            self._spoil_answers,
            self._drain,
            self._publish_version,
            self._slow_backend,
        ]
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            kind = self._random.choice(kinds)
            self.results.faults[kind.__name__.strip("_")] += 1
            running.add(asyncio.ensure_future(kind()))
            await asyncio.sleep(self._random.random() * 2 * FAULT_GAP_SECONDS)
        await asyncio.gather(*running)
        if self._rejecting is not None:
            await self._rejecting.stop()
        await asyncio.gather(*(series.stop() for series in self._series))
        self._clear_faults()
        await self._check_recovery()
        self._load.stopped = True

    def _random_instance(self) -> MeshInstance:
        return self._random.choice(self.cluster.instances)

    async def _kill(self) -> None:
        instance = self._random_instance()
        await self.cluster.kill(instance)
        await asyncio.sleep(RESTART_SECONDS)
        await self._restart_if_down(instance)

    async def _terminate(self) -> None:
        instance = self._random_instance()
        if instance.process is not None and instance.process.returncode is None:
            await self.cluster.stop(instance)
        await self._restart_if_down(instance)

    async def _restart_if_down(self, instance: MeshInstance) -> None:
        if instance.process is None or instance.process.returncode is not None:
            await self.cluster.start_node(instance)

    async def _freeze(self) -> None:
        instance, seconds = self._random_instance(), 0.3 + self._random.random()
        self._signal(instance, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._signal(instance, signal.SIGCONT)

    async def _reload(self) -> None:
        instance = self._random_instance()
        self._signal(instance, signal.SIGHUP)
        # It ends a process whose interpreter is just starting; the platform starts that again.
        await asyncio.sleep(RESTART_SECONDS)
        await self._restart_if_down(instance)

    def _signal(self, instance: MeshInstance, number: signal.Signals) -> None:
        if instance.process is not None and instance.process.returncode is None:
            instance.process.send_signal(number)

    async def _cut_peers(self) -> None:
        proxy = self._random.choice(list(self._proxy_by_peer_address.values()))
        await self._disturb_link(proxy)

    async def _reset_peers(self) -> None:
        self._random.choice(list(self._proxy_by_peer_address.values())).reset()

    async def _cut_store(self) -> None:
        await self._disturb_link(self._random.choice(self._store_proxies))

    async def _disturb_link(self, proxy: FaultProxy) -> None:
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

    async def _spoil_answers(self) -> None:
        backend = self._random_instance().backend
        backend.fault = self._random.choice([fault for fault in Fault if fault is not Fault.NONE])
        await asyncio.sleep(0.3 + self._random.random())
        backend.fault = Fault.NONE

    async def _slow_backend(self) -> None:
        backend = self._random_instance().backend
        backend.slowdown, backend.work_seconds = 400, 0.1
        await asyncio.sleep(0.3 + self._random.random())
        backend.slowdown, backend.work_seconds = 100, self._work_seconds

    async def _drain(self) -> None:
        """Drain a backend server and check that requests stop arriving.

        No request may arrive later than `DRAIN_SECONDS` after the node acknowledged the drain.
        """
        instance = self._random_instance()
        if instance.state != "ready":
            return
        instance.state = "draining"
        # The platform's specification: the health check fails while a backend server drains.
        instance.backend.healthy = False
        try:
            status = await instance.backend.send_heartbeat(
                parse_address(instance.announcements), state="draining"
            )
        except (UnreachableError, AssertionError):
            status = 0
        acknowledged = time.monotonic()
        await asyncio.sleep(DRAIN_SECONDS + 1.0)
        if status == 200:
            late = [
                at for at in instance.backend.arrival_times if at > acknowledged + DRAIN_SECONDS
            ]
            if late:
                self.results.violations.append(
                    f"{instance.name}: {len(late)} requests arrived too late after its drain"
                )
        instance.backend.healthy = True
        instance.state = "ready"

    async def _publish_version(self) -> None:
        self._version += 1
        self.cluster.publish(self._version)

    def _clear_faults(self) -> None:
        self.cluster.store.outage = Outage.NONE
        for proxy in [*self._proxy_by_peer_address.values(), *self._store_proxies]:
            proxy.link = Link.SOUND
        for instance in self.cluster.instances:
            instance.state = "ready"
            instance.backend.healthy = True
            instance.backend.fault = Fault.NONE
            instance.backend.work_seconds = self._work_seconds
            instance.backend.slowdown = 100

    async def _check_recovery(self) -> None:
        """Check that all nodes serve all services of the newest version in `RECOVERY_SECONDS`."""
        self._version += 1
        self.cluster.publish(self._version, [RouteOptions("shop", host="new.example")])
        services = [*SMALL.count_by_service, "new"]
        unserved = deque(
            (instance, name) for instance in self.cluster.instances for name in services
        )
        try:
            async with asyncio.timeout(RECOVERY_SECONDS):
                while unserved:
                    if await self._load.serves(*unserved[0]):
                        unserved.popleft()
                    else:
                        await asyncio.sleep(0.1)
        except TimeoutError:
            instance, service = unserved[0]
            message = (
                "service not available in time after the last fault:"
                f" {service} at {self.cluster.describe(instance)}"
            )
            self.results.violations.append(message)

    def _check_executions(self) -> None:
        executions = Counter(
            run for instance in self.cluster.instances for run in instance.backend.runs
        )
        unsafe = {
            arrival.request_id
            for instance in self.cluster.instances
            for arrival in instance.backend.arrivals
            if arrival.target.startswith(b"/write/")
        }
        for name in sorted(unsafe):
            if executions[name] > 1:
                self.results.violations.append(
                    f"{name}: unsafe request executed {executions[name]} times"
                )
            if executions[name] and name in self.results.promised_not_executed:
                self.results.violations.append(
                    f"{name}: executed although its caller was told that it was not"
                )


def main() -> int:
    """Run the soak test for the seeds given by the arguments."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--seconds", type=float, default=10.0, help="how long faults are injected")
    parser.add_argument(
        "--crashing", action="store_true", help="also send requests that crash backend servers"
    )
    parser.add_argument(
        "--rejecting",
        action="store_true",
        help="also have a service reject requests while nodes are killed repeatedly",
    )
    parser.add_argument(
        "--limiting",
        action="store_true",
        help="also have backend servers name limits, and leave by their answers",
    )
    parser.add_argument(
        "--departing",
        action="store_true",
        help="also have backend servers deregister, with late heartbeats and kills in series",
    )
    parser.add_argument(
        "--reusing",
        action="store_true",
        help="also have addresses of backend servers go to another service for a while",
    )
    arguments = parser.parse_args()
    # Raises KeyboardInterrupt on SIGTERM, so that the nodes are stopped then too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        soak = Soak(
            seed,
            arguments.seconds,
            crashing=arguments.crashing,
            rejecting=arguments.rejecting,
            limiting=arguments.limiting,
            departing=arguments.departing,
            reusing=arguments.reusing,
        )
        results = asyncio.run(soak.run())
        verdict = "; ".join(results.violations[:5]) or "kept"
        sys.stdout.write(
            f"seed {seed}: {verdict}; answers {dict(results.statuses)}"
            f" faults {sum(results.faults.values())} repeats {results.repeats};"
            f" logs {soak.cluster.folder}\n"
        )
        sys.stdout.flush()
        failed += bool(results.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
