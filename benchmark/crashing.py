"""Measures what work that ends backend servers costs, by ways to tell who knows of it.

Usage: PYTHONPATH=src:platform:. python -m benchmark.crashing [SEED ...]

Eight nodes on loopback in two data centres, four of them beside backend servers that end 30 ms
after they begin one certain work and are back after 3 s; that work comes again 0.3 to 0.8 s after
each answer, at any node, beside 90 other requests a second, for 25 s. Prints a row a way and seed:
backend servers ended, requests for the work that a backend server began after the third end, those
of them later than 3 s after it, and other requests served and not.
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
AWAY_SECONDS = 3.0
SETTLED_SECONDS = 3.0
OTHERS_PER_SECOND = 90.0
WORK_SECONDS = 0.04
CRASHING = "/jobs/crashing"
NEVER = 1_000_000
OK = 200


@dataclass(frozen=True, slots=True)
class Way:
    """How ends are counted.

    Attributes
    ----------
    name : str
        For the table.
    ends_needed : int
        After how many work is refused.
    is_told : bool
        Whether nodes tell each other at once.
    """

    name: str
    ends_needed: int
    is_told: bool


WAYS = (
    Way("nothing is remembered", NEVER, is_told=False),
    Way("three ends, each node by itself and by the readers", 3, is_told=False),
    Way("two ends, told at once", 2, is_told=True),
    Way("three ends, told at once", 3, is_told=True),
)


class Trial:
    """One run."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._system = MeshSystem()
        self._shops: list[Machine] = []
        self._ended_at: list[float] = []
        self._began_at: list[float] = []
        self._served = 0
        self._unserved = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> str:
        """Run it; return the cells of its row."""
        await self._start()
        loop = asyncio.get_running_loop()
        until = loop.time() + SECONDS
        keepers = [loop.create_task(self._keep(shop)) for shop in self._shops]
        await asyncio.gather(self._send_others(until), self._send_crashing(until))
        await asyncio.gather(*self._tasks)
        for keeper in keepers:
            keeper.cancel()
        for shop in self._shops:
            by_id = zip(shop.backend.arrivals, shop.backend.arrival_times, strict=True)
            self._began_at += [at for a, at in by_id if a.target == CRASHING.encode()]
        await self._system.close()
        return self._row()

    async def _start(self) -> None:
        system = self._system
        await system.start()
        for number in range(8):
            service = "shop" if number % 2 else "front"
            machine = await system.add(service, data_centre=f"c{number // 4}", slots=6)
            if service == "shop":
                machine.backend.crash_on(CRASHING.encode())
                machine.backend.work_seconds = WORK_SECONDS
                self._shops.append(machine)
        system.merge_all_peers()
        system.publish(1, RouteOptions("shop", attempts=3))
        await system.until_configured(1)

    async def _keep(self, shop: Machine) -> None:
        """Bring a backend server back each time that it has ended."""
        loop = asyncio.get_running_loop()
        while True:
            await shop.backend.crashed.wait()
            self._ended_at.append(loop.time())
            await asyncio.sleep(AWAY_SECONDS)
            await shop.backend.start_as(f"{shop.backend.instance}+")
            await shop.send_heartbeat()

    async def _send_crashing(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self._system.call(self._any(), CRASHING, deadline_ms=800)
            await asyncio.sleep(0.3 + 0.5 * self._random.random())

    async def _send_others(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until:
            number += 1
            task = loop.create_task(self._send(f"/jobs/{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(OTHERS_PER_SECOND))

    async def _send(self, path: str) -> None:
        status, _, _ = await self._system.call(self._any(), path, deadline_ms=800)
        if status == OK:
            self._served += 1
        else:
            self._unserved += 1

    def _any(self) -> Machine:
        return self._random.choice(self._system.machines)

    def _row(self) -> str:
        third = sorted(self._ended_at)[2] if len(self._ended_at) > 2 else float("inf")
        after = [at for at in self._began_at if at > third]
        late = [at for at in after if at > third + SETTLED_SECONDS]
        cells = (len(self._ended_at), len(after), len(late), self._served, self._unserved)
        return " | ".join(str(cell) for cell in cells)


def main() -> None:
    """Print the table."""
    seeds = [int(argument) for argument in sys.argv[1:]] or [1, 2]
    sys.stdout.write("| way | seed | ended | begun after the third | later than 3 s |")
    sys.stdout.write(" others served | not |\n|---|---|---|---|---|---|---|\n")
    for way in WAYS:
        tell = crash_notifier.CrashNotifier.tell if way.is_told else _say_nothing
        with (
            mock.patch.object(crash_evidence, "ENDS_NEEDED", way.ends_needed),
            mock.patch.object(crash_notifier.CrashNotifier, "tell", tell),
        ):
            for seed in seeds:
                row = asyncio.run(Trial(seed).run())
                sys.stdout.write(f"| {way.name} | {seed} | {row} |\n")
                sys.stdout.flush()


def _say_nothing(_: crash_notifier.CrashNotifier) -> None:
    return


if __name__ == "__main__":
    main()
