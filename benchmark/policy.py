"""Compares routing policies under faults, each on a cluster of its own.

Usage: python -m benchmark.policy [--scenario NAME ...] [--policy NAME ...]
       [--load SHARE ...] [--seconds S] [--seva]

Calls enter at nodes of another service, open loop, at a share of the capacity of all
slots. With the baseline policies every request is admitted and none is hedged.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from benchmark.load import Plan
from benchmark.load import Target
from benchmark.runner import run_load
from hoisthook.rpc import operator_pb2 as pb
from standin.cluster import Cluster
from standin.cluster import Options
from standin.cluster import operator_call
from standin.cluster import post_json
from standin.deployment import SEVA
from standin.deployment import TERANGA
from standin.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from benchmark.runner import MergedResults

WORK_MS = 40.0
WARM_UP_SECONDS = 3.0
SLOW_FACTOR = 10.0
SLOW_SECONDS = 0.2
POLICIES = ("hoisthook", "random", "round-robin", "least-in-flight", "two-choices")


async def quiet(cluster: Cluster, service: str) -> None:
    """Inject no fault."""


async def moving_slow(cluster: Cluster, service: str) -> None:
    """Slow down one backend server by a factor of 10 for 200 ms, then the next."""
    number = 0
    while True:
        node = cluster.of(service)[number % len(cluster.of(service))]
        number += 1
        await post_json(f"{node.backend_url}/_behave", {"slow": SLOW_FACTOR})
        await asyncio.sleep(SLOW_SECONDS)
        await post_json(f"{node.backend_url}/_behave", {"slow": 1.0})
        await asyncio.sleep(SLOW_SECONDS)


async def fail_fast(cluster: Cluster, service: str) -> None:
    """Make one backend server answer 500 immediately."""
    await post_json(f"{cluster.of(service)[0].backend_url}/_behave", {"fail": True})


async def drain(cluster: Cluster, service: str) -> None:
    """Drain one backend server in the middle of the run."""
    await asyncio.sleep(WARM_UP_SECONDS + 2.0)
    await post_json(f"{cluster.of(service)[0].backend_url}/_behave", {"draining": True})


async def kill_node(cluster: Cluster, service: str) -> None:
    """Kill the node of one backend server in the middle of the run."""
    await asyncio.sleep(WARM_UP_SECONDS + 2.0)
    process = cluster.of(service)[0].node_process
    assert process is not None
    process.send_signal(signal.SIGKILL)


async def log_out(cluster: Cluster, service: str) -> None:
    """Make the platform log unavailable for the whole run."""
    await cluster.log_faults(outage=True)


SCENARIOS: dict[str, Callable[[Cluster, str], Awaitable[None]]] = {
    "quiet": quiet,
    "moving-slow": moving_slow,
    "fail-fast": fail_fast,
    "drain": drain,
    "kill-node": kill_node,
    "log-out": log_out,
}


def first_two_services(deployment: Deployment) -> Deployment:
    """Return the deployment with its first two services only; calls enter at the second."""
    first, second = list(deployment.count_by_service)[:2]
    counts = {name: deployment.count_by_service[name] for name in (first, second)}
    return replace(deployment, count_by_service=counts)


async def run_one(
    deployment: Deployment, policy: str, scenario: str, load: float, seconds: float
) -> dict[str, object]:
    """Run a policy under a scenario at a load, and return the row of its results."""
    service, ingress_service = deployment.count_by_service
    is_hoisthook = policy == "hoisthook"
    options = Options(
        policy=policy, admission=is_hoisthook, work_ms=WORK_MS, decisions=is_hoisthook
    )
    cluster = Cluster(deployment, options)
    capacity = deployment.count_by_service[service] * deployment.slots / (WORK_MS / 1000.0)
    try:
        await cluster.start()
        ingress_addresses = [("127.0.0.1", node.callers) for node in cluster.of(ingress_service)]
        await asyncio.sleep(2.5)
        plan = Plan(
            targets=[
                Target("calls", ingress_addresses, {"host": "h", "hoisthook-service": service})
            ],
            rate=load * capacity,
            seconds=seconds,
            warm_up_seconds=WARM_UP_SECONDS,
            seed=11,
        )
        fault_task = asyncio.ensure_future(SCENARIOS[scenario](cluster, service))
        merged = (await run_load(plan))["calls"]
        fault_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await fault_task
        load_reads = await _count_load_reads(cluster)
    finally:
        await cluster.close()
    return _row(policy, scenario, load, capacity, seconds, merged) | load_reads


async def _count_load_reads(cluster: Cluster) -> dict[str, object]:
    requests = 0
    for node in cluster.instances:
        with contextlib.suppress(OSError):
            status = await operator_call(
                node.operators, lambda stub: stub.NodeStatus(pb.NodeStatusRequest())
            )
            requests += status.measure_requests
    return {"measure_requests": requests}


def _row(
    policy: str, scenario: str, load: float, capacity: float, seconds: float, merged: MergedResults
) -> dict[str, object]:
    errors = {k: v for k, v in merged.count_by_result.items() if k != "0 OK"}
    return {
        "policy": policy,
        "scenario": scenario,
        "load": load,
        "sent": merged.sent,
        "p50_ms": round(merged.millis(50.0), 1),
        "p99_ms": round(merged.millis(99.0), 1),
        "p99.9_ms": round(merged.millis(99.9), 1),
        "goodput_of_capacity": round(merged.answered / seconds / capacity, 3),
        "attempts_per_call": round(merged.attempts / max(1, merged.sent), 3),
        "errors": errors,
    }


def print_row(row: dict[str, object]) -> None:
    """Print one row of the table."""
    cells = [str(value) for value in row.values()]
    sys.stdout.write("| " + " | ".join(cells) + " |\n")
    sys.stdout.flush()


async def run(arguments: argparse.Namespace) -> None:
    """Run all combinations given on the command line, one after the other."""
    deployment = first_two_services(SEVA if arguments.seva else TERANGA)
    rows: list[dict[str, object]] = []
    for scenario in arguments.scenario:
        for load in arguments.load:
            for policy in arguments.policy:
                row = await run_one(deployment, policy, scenario, load, arguments.seconds)
                if not rows:
                    print_row({name: name for name in row})
                    print_row({name: "---" for name in row})
                rows.append(row)
                print_row(row)
    sys.stdout.write(msgspec.json.encode(rows).decode() + "\n")


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--scenario", nargs="+", default=list(SCENARIOS), choices=SCENARIOS)
    parser.add_argument("--policy", nargs="+", default=list(POLICIES), choices=POLICIES)
    parser.add_argument("--load", nargs="+", type=float, default=[0.8])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seva", action="store_true")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
