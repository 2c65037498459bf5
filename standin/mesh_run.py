"""Runs a deployment of 13 platform nodes until interrupted.

Usage: python -m standin.mesh_run [--seva] [--limit PER_SECOND]
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

from standin.deployment import SEVA
from standin.deployment import TERANGA
from standin.mesh_cluster import MeshCluster


async def run(cluster: MeshCluster, limit: str | None = None) -> int:
    """Start the cluster, print its addresses and ``ready``, and stop it when interrupted."""
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    try:
        await cluster.start()
        if limit is not None:
            first_by_service = {i.service: i for i in reversed(cluster.instances)}
            for instance in first_by_service.values():
                instance.backend.rate_limit = limit.encode()
        for instance in cluster.instances:
            sys.stdout.write(
                f"{instance.name} ({instance.data_centre}, {instance.service})"
                f" callers {instance.callers} metrics {instance.metrics}\n"
            )
        sys.stdout.write(f"logs {cluster.folder}\nready\n")
        sys.stdout.flush()
        await interrupted.wait()
        statuses = await asyncio.gather(*(cluster.stop(instance) for instance in cluster.instances))
    finally:
        await cluster.close()
    sys.stdout.write(f"stopped, exit statuses of the nodes: {sorted(set(statuses))}\n")
    return max(statuses, default=0)


def main() -> None:
    """Run the deployment that the arguments select."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--seva", action="store_true", help="deployment of Paschimbanga Seva instead of Teranga"
    )
    parser.add_argument(
        "--limit", help="requests a second that the first backend server of each service names"
    )
    arguments = parser.parse_args()
    cluster = MeshCluster(SEVA if arguments.seva else TERANGA)
    sys.exit(asyncio.run(run(cluster, arguments.limit)))


if __name__ == "__main__":
    main()
