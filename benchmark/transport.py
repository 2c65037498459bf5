"""Compares the added latency and processor time of one hop between HTTP libraries.

Usage: python -m benchmark.transport [--rate R] [--seconds S]

All kinds alternate in one open-loop load against one backend server, so that
noise of the machine affects them equally. ``bytes`` only copies bytes: a lower bound.
"""

from __future__ import annotations

import argparse
import asyncio
import sys

import msgspec

from benchmark.load import Plan
from benchmark.load import Target
from benchmark.relay import SERVE_BY_KIND
from benchmark.runner import run_load
from benchmark.runner import usage_of
from standin.cluster import PortBlock
from standin.cluster import stop

WARM_UP_SECONDS = 2.0
START_SECONDS = 2.0
WORK_MS = "1"


async def run(rate: float, seconds: float) -> None:
    """Start the relays, run the load through them and print a table."""
    port_block = PortBlock(2 + len(SERVE_BY_KIND))
    backend, announcements, *ports = port_block.ports
    command = [sys.executable, "-m", "standin.backend_server", "--port", str(backend)]
    command += ["--id", "b", "--service", "svc", "--slots", "64", "--work-ms", WORK_MS]
    command += ["--announce", f"127.0.0.1:{announcements}"]
    processes = [await asyncio.create_subprocess_exec(*command)]
    port_by_kind = dict(zip(SERVE_BY_KIND, ports, strict=True))
    pid_by_kind = {}
    for kind, port in port_by_kind.items():
        arguments = ["-m", "benchmark.relay", kind, str(port), str(backend)]
        process = await asyncio.create_subprocess_exec(sys.executable, *arguments)
        processes.append(process)
        pid_by_kind[kind] = process.pid
    try:
        await asyncio.sleep(START_SECONDS)
        targets = [Target("direct", [("127.0.0.1", backend)], {"host": "b"})]
        for kind, port in port_by_kind.items():
            targets.append(Target(kind, [("127.0.0.1", port)], {"host": "b"}))
        before = {kind: usage_of(pid).cpu_seconds for kind, pid in pid_by_kind.items()}
        merged = await run_load(Plan(targets, rate, seconds, WARM_UP_SECONDS, seed=3))
        after = {kind: usage_of(pid).cpu_seconds for kind, pid in pid_by_kind.items()}
    finally:
        await asyncio.gather(*(stop(process) for process in processes))
        port_block.close()
    direct = merged["direct"]
    warm_up_factor = (seconds + WARM_UP_SECONDS) / seconds
    rows = []
    for kind in SERVE_BY_KIND:
        row: dict[str, object] = {"kind": kind}
        for percentile in (50.0, 99.0):
            added = merged[kind].millis(percentile) - direct.millis(percentile)
            row[f"added p{percentile:g} ms"] = round(added, 3)
        cpu_seconds = (after[kind] - before[kind]) / (merged[kind].sent * warm_up_factor)
        row["cpu ms a call"] = round(cpu_seconds * 1000.0, 3)
        row["sent"] = merged[kind].sent
        rows.append(row)
    sys.stdout.write("| " + " | ".join(rows[0]) + " |\n|---|---|---|---|---|\n")
    for row in rows:
        sys.stdout.write("| " + " | ".join(str(value) for value in row.values()) + " |\n")
    sys.stdout.write(msgspec.json.encode(rows).decode() + "\n")


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.rate, arguments.seconds))


if __name__ == "__main__":
    main()
