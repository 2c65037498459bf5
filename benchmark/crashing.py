"""Measures what a request that crashes backend servers costs, by how crashes are reported.

Usage: PYTHONPATH=src:platform:. python -m benchmark.crashing [SEED ...]

Eight nodes run on loopback in two data centres. Four of them have backend servers that crash 30 ms
after they start a certain request and are restarted after 3 s. For 25 s that request is sent again
0.3 to 0.8 s after each answer, through a random node, together with 90 other requests per second.
Prints a row for each variant and seed: crashes, executions of the crashing request that a backend
server started after the third crash, those of them more than 3 s after it, and the other requests
that succeeded and failed.
"""

from __future__ import annotations

import asyncio
import random
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING
from unittest import mock

from hoisthook.mesh import crash_notifier
from hoisthook.retry import crash_evidence
from standin.mesh_system import MeshSystem
from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from standin.mesh_system import Machine

SECONDS = 25.0
RESTART_SECONDS = 3.0
PROPAGATION_SECONDS = 3.0
OTHER_REQUESTS_PER_SECOND = 90.0
WORK_SECONDS = 0.04
CRASHING_PATH = "/jobs/crashing"
UNREACHABLE_COUNT = 1_000_000
OK = 200


@dataclass(frozen=True, slots=True)
class Variant:
    """A way to count and report crashes.

    Attributes
    ----------
    name : str
        Label in the table.
    crashes_needed : int
        Number of crashes under a request after which it is rejected.
    is_reported : bool
        Whether nodes report crashes to each other at once.
    """

    name: str
    crashes_needed: int
    is_reported: bool


VARIANTS = (
    Variant("no crash protection", UNREACHABLE_COUNT, is_reported=False),
    Variant("three crashes, each node on its own and through the readers", 3, is_reported=False),
    Variant("two crashes, reported at once", 2, is_reported=True),
    Variant("three crashes, reported at once", 3, is_reported=True),
)


class Trial:
    """One run of a variant with one seed."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._system = MeshSystem()
        self._shop_nodes: list[Machine] = []
        self._crashed_at: list[float] = []
        self._executed_at: list[float] = []
        self._succeeded = 0
        self._failed = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> str:
        """Run it and return the last cells of its row."""
        await self._start()
        loop = asyncio.get_running_loop()
        until = loop.time() + SECONDS
        restart_tasks = [
            loop.create_task(self._restart_after_crashes(node)) for node in self._shop_nodes
        ]
        await asyncio.gather(self._send_other_requests(until), self._send_crashing(until))
        await asyncio.gather(*self._tasks)
        for restart_task in restart_tasks:
            restart_task.cancel()
        for node in self._shop_nodes:
            timed_arrivals = zip(node.backend.arrivals, node.backend.arrival_times, strict=True)
            self._executed_at += [
                at for a, at in timed_arrivals if a.target == CRASHING_PATH.encode()
            ]
        await self._system.close()
        return self._row()

    async def _start(self) -> None:
        system = self._system
        await system.start()
        for number in range(8):
            service = "shop" if number % 2 else "front"
            node = await system.add(service, data_centre=f"c{number // 4}", slots=6)
            if service == "shop":
                node.backend.crash_on(CRASHING_PATH.encode())
                node.backend.work_seconds = WORK_SECONDS
                self._shop_nodes.append(node)
        system.merge_all_peers()
        system.publish(1, RouteOptions("shop", attempts=3))
        await system.until_configured(1)

    async def _restart_after_crashes(self, node: Machine) -> None:
        """Restart the backend server of a node after each of its crashes."""
        loop = asyncio.get_running_loop()
        while True:
            await node.backend.crashed.wait()
            self._crashed_at.append(loop.time())
            await asyncio.sleep(RESTART_SECONDS)
            await node.backend.start_as(f"{node.backend.instance}+")
            await node.send_heartbeat()

    async def _send_crashing(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self._system.call(self._random_node(), CRASHING_PATH, deadline_ms=800)
            await asyncio.sleep(0.3 + 0.5 * self._random.random())

    async def _send_other_requests(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until:
            number += 1
            task = loop.create_task(self._send(f"/jobs/{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(OTHER_REQUESTS_PER_SECOND))

    async def _send(self, path: str) -> None:
        status, _, _ = await self._system.call(self._random_node(), path, deadline_ms=800)
        if status == OK:
            self._succeeded += 1
        else:
            self._failed += 1

    def _random_node(self) -> Machine:
        return self._random.choice(self._system.machines)

    def _row(self) -> str:
        third_crash_at = sorted(self._crashed_at)[2] if len(self._crashed_at) > 2 else float("inf")
        after_third_crash = [at for at in self._executed_at if at > third_crash_at]
        after_propagation = [
            at for at in after_third_crash if at > third_crash_at + PROPAGATION_SECONDS
        ]
        cells = (
            len(self._crashed_at),
            len(after_third_crash),
            len(after_propagation),
            self._succeeded,
            self._failed,
        )
        return " | ".join(str(cell) for cell in cells)


def main() -> None:
    """Run all variants with the seeds of the command line, and print the table."""
    seeds = [int(argument) for argument in sys.argv[1:]] or [1, 2]
    sys.stdout.write("| variant | seed | crashes | executed after the third | later than 3 s |")
    sys.stdout.write(" others succeeded | failed |\n|---|---|---|---|---|---|---|\n")
    for variant in VARIANTS:
        notify = crash_notifier.CrashNotifier.notify if variant.is_reported else _notify_nobody
        with (
            mock.patch.object(crash_evidence, "CRASHES_NEEDED", variant.crashes_needed),
            mock.patch.object(crash_notifier.CrashNotifier, "notify", notify),
        ):
            for seed in seeds:
                row = asyncio.run(Trial(seed).run())
                sys.stdout.write(f"| {variant.name} | {seed} | {row} |\n")
                sys.stdout.flush()


def _notify_nobody(_: crash_notifier.CrashNotifier) -> None:
    return


if __name__ == "__main__":
    main()
