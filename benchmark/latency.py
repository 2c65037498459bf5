"""Latency that hoisthook adds to a call, and resource use of an idle node.

Usage: python -m benchmark.latency [--rate R] [--seconds S] [--seva]

Direct calls and calls through hoisthook alternate in one open-loop run at a fixed
rate. Calls enter at nodes of other services, so each passes an
ingress node and the node of a backend server.
"""

from __future__ import annotations

import argparse
import asyncio
import sys

import msgspec

from benchmark.load import Plan
from benchmark.load import Target
from benchmark.runner import Usage
from benchmark.runner import loopback_octets
from benchmark.runner import run_load
from benchmark.runner import usage_of
from hoisthook.rpc import operator_pb2 as pb
from standin.cluster import Cluster
from standin.cluster import Options
from standin.cluster import operator_call
from standin.deployment import SEVA
from standin.deployment import TERANGA

PERCENTILES = (50.0, 99.0, 99.9)
WORK_MS = 1.0
IDLE_SECONDS = 10.0
SETTLE_SECONDS = 3.0


async def measure(cluster: Cluster, rate: float, seconds: float) -> dict[str, object]:
    """Run the load and return all results by name."""
    service = next(iter(cluster.deployment.count_by_service))
    service_nodes = cluster.of(service)
    ingress_nodes = [node for node in cluster.instances if node.service != service]
    await asyncio.sleep(SETTLE_SECONDS)
    idle = await _idle_costs(cluster)
    plan = Plan(
        targets=[
            Target("direct", [("127.0.0.1", p.backend) for p in service_nodes], {"host": "b"}),
            Target(
                "hoisthook",
                [("127.0.0.1", p.callers) for p in ingress_nodes],
                {"host": "h", "hoisthook-service": service},
            ),
        ],
        rate=rate,
        seconds=seconds,
        warm_up_seconds=2.0,
        seed=1,
    )
    before = _usages(cluster)
    merged = await run_load(plan)
    after = _usages(cluster)
    calls = max(1, merged["hoisthook"].sent)
    cpu_seconds = sum(a.cpu_seconds - b.cpu_seconds for a, b in zip(after, before, strict=True))
    rows: dict[str, object] = {"rate": rate, "seconds": seconds, "work_ms": WORK_MS}
    for percentile in PERCENTILES:
        direct = merged["direct"].millis(percentile)
        through = merged["hoisthook"].millis(percentile)
        rows[f"p{percentile:g}"] = {
            "direct_ms": round(direct, 3),
            "hoisthook_ms": round(through, 3),
            "added_ms": round(through - direct, 3),
        }
    rows["results"] = merged["hoisthook"].count_by_result
    rows["direct_results"] = merged["direct"].count_by_result
    warm_up_factor = (seconds + 2.0) / seconds
    rows["node_cpu_ms_per_call"] = round(cpu_seconds / (calls * warm_up_factor) * 1000.0, 3)
    rows["resident_mb"] = round(max(usage.resident_bytes for usage in after) / 1e6, 1)
    rows["idle"] = idle
    rows["measuring"] = await _measuring_costs(cluster)
    return rows


async def _idle_costs(cluster: Cluster) -> dict[str, object]:
    before, octets = _usages(cluster), loopback_octets()
    await asyncio.sleep(IDLE_SECONDS)
    after, octets_after = _usages(cluster), loopback_octets()
    shares = [
        (a.cpu_seconds - b.cpu_seconds) / IDLE_SECONDS * 100.0
        for a, b in zip(after, before, strict=True)
    ]
    return {
        "cpu_percent_mean": round(sum(shares) / len(shares), 2),
        "cpu_percent_max": round(max(shares), 2),
        "resident_mb_max": round(max(usage.resident_bytes for usage in after) / 1e6, 1),
        "loopback_kb_per_s_per_node": round(
            (octets_after - octets) / IDLE_SECONDS / len(cluster.instances) / 1000.0, 2
        ),
    }


async def _measuring_costs(cluster: Cluster) -> dict[str, object]:
    requests, size, cpu_seconds = 0, 0, 0.0
    for node in cluster.instances:
        status = await operator_call(
            node.operators, lambda stub: stub.NodeStatus(pb.NodeStatusRequest())
        )
        requests += status.measure_requests
        size += status.measure_bytes
        cpu_seconds += status.measure_seconds
    return {"requests": requests, "bytes": size, "seconds": round(cpu_seconds, 3)}


def _usages(cluster: Cluster) -> list[Usage]:
    return [usage_of(p.node_process.pid) for p in cluster.instances if p.node_process is not None]


def print_table(rows: dict[str, object]) -> None:
    """Print the percentiles as a table, the other results, and then all results as JSON."""
    sys.stdout.write("percentile  direct ms  hoisthook ms  added ms\n")
    for percentile in PERCENTILES:
        row = rows[f"p{percentile:g}"]
        assert isinstance(row, dict)
        sys.stdout.write(
            f"p{percentile:<9g} {row['direct_ms']:>10} {row['hoisthook_ms']:>13}"
            f" {row['added_ms']:>9}\n"
        )
    for key in ("results", "node_cpu_ms_per_call", "resident_mb", "idle", "measuring"):
        sys.stdout.write(f"{key}: {rows[key]}\n")
    sys.stdout.write(msgspec.json.encode(rows).decode() + "\n")


async def run(arguments: argparse.Namespace) -> None:
    """Start a cluster, measure, close the cluster and print the results."""
    deployment = SEVA if arguments.seva else TERANGA
    cluster = Cluster(deployment, Options(work_ms=WORK_MS))
    try:
        await cluster.start()
        rows = await measure(cluster, arguments.rate, arguments.seconds)
    finally:
        await cluster.close()
    print_table(rows)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--rate", type=float, default=200.0, help="calls per second, direct ones included"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seva", action="store_true")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
