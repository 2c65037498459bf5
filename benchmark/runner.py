"""Runs load generators in processes of their own, merges their reports and reads resource usage."""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from benchmark.load import Plan
from benchmark.load import Report
from benchmark.load import new_histogram

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

    from benchmark.load import KindResults

GENERATORS = 2
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class MergedResults:
    """Results of one kind of calls over all generators; times in microseconds."""

    sent: int
    answered: int
    attempts: int
    count_by_result: dict[str, int]
    histogram: HdrHistogram

    def millis(self, percentile: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000.0


async def run_load(plan: Plan, generators: int = GENERATORS) -> dict[str, MergedResults]:
    """Run a plan split over several processes, and return the merged results by kind."""
    plans = [
        msgspec.structs.replace(plan, rate=plan.rate / generators, seed=plan.seed + number)
        for number in range(generators)
    ]
    reports = await asyncio.gather(*(_run_generator(part) for part in plans))
    return {target.name: _merge(reports, target.name) for target in plan.targets}


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds and resident bytes of one process."""

    cpu_seconds: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Return the processor time and resident memory of a process, from ``/proc``."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / TICKS_PER_SECOND, pages * os.sysconf("SC_PAGE_SIZE"))


def loopback_octets() -> int:
    """Return the octets that this machine's IP layer has received, headers included."""
    lines = Path("/proc/net/netstat").read_text().splitlines()
    names = next(line for line in lines if line.startswith("IpExt")).split()
    values = [line for line in lines if line.startswith("IpExt")][1].split()
    return int(values[names.index("InOctets")])


async def _run_generator(plan: Plan) -> Report:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmark.load",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate(msgspec.json.encode(plan))
    return msgspec.json.decode(out, type=Report)


def _merge(reports: list[Report], name: str) -> MergedResults:
    merged = MergedResults(0, 0, 0, {}, new_histogram())
    for report in reports:
        kind: KindResults = report.kind_by_name[name]
        merged.sent += kind.sent
        merged.answered += kind.answered
        merged.attempts += kind.attempts
        merged.histogram.decode_and_add(kind.histogram)
        for result, count in kind.count_by_result.items():
            merged.count_by_result[result] = merged.count_by_result.get(result, 0) + count
    return merged
