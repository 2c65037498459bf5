"""Runs a deployment with the log service and backend servers until interrupted.

Usage: python -m standin.run [--seva] [--base-port PORT]
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

from standin.cluster import Cluster
from standin.cluster import Options
from standin.deployment import SEVA
from standin.deployment import TERANGA

BASE_PORT = 7000


async def run(cluster: Cluster) -> int:
    """Start the cluster, print its addresses and ``ready``, and stop it when interrupted."""
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    try:
        await cluster.start()
        _print_addresses(cluster)
        await interrupted.wait()
    finally:
        statuses = await cluster.close()
    sys.stdout.write(f"stopped, exit statuses of the nodes: {sorted(set(statuses))}\n")
    return max(statuses, default=0)


def _print_addresses(cluster: Cluster) -> None:
    sys.stdout.write(f"log 127.0.0.1:{cluster.log_port}\n")
    for instance in cluster.instances:
        sys.stdout.write(
            f"{instance.name} ({instance.data_centre}) callers 127.0.0.1:{instance.callers}"
            f" operators 127.0.0.1:{instance.operators} backend 127.0.0.1:{instance.backend}\n"
        )
    sys.stdout.write("ready\n")
    sys.stdout.flush()


def main() -> None:
    """Run the deployment that the arguments select."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--seva", action="store_true", help="deployment of Paschimbanga Seva instead of Teranga"
    )
    parser.add_argument("--base-port", type=int, default=BASE_PORT)
    arguments = parser.parse_args()
    deployment = SEVA if arguments.seva else TERANGA
    sys.exit(asyncio.run(run(Cluster(deployment, Options(base_port=arguments.base_port)))))


if __name__ == "__main__":
    main()
