"""Runs the platform path with 13 nodes until interrupted.

Usage: python -m standin.mesh_run [--seva]
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

from standin.deployment import SEVA
from standin.deployment import TERANGA
from standin.mesh_cluster import MeshCluster


async def run(cluster: MeshCluster) -> int:
    """Start, print each address and last ``ready``, serve until interrupted, stop."""
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    try:
        await cluster.start()
        for place in cluster.places:
            sys.stdout.write(
                f"{place.name} ({place.data_centre}, {place.service}) callers {place.callers}"
                f" metrics {place.metrics}\n"
            )
        sys.stdout.write(f"logs {cluster.folder}\nready\n")
        sys.stdout.flush()
        await interrupted.wait()
        statuses = await asyncio.gather(*(cluster.stop(place) for place in cluster.places))
    finally:
        await cluster.close()
    sys.stdout.write(f"stopped, exit statuses of the nodes: {sorted(set(statuses))}\n")
    return max(statuses, default=0)


def main() -> None:
    """Run the deployment that the arguments name."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seva", action="store_true", help="Paschimbanga Seva's, not Teranga's")
    arguments = parser.parse_args()
    sys.exit(asyncio.run(run(MeshCluster(SEVA if arguments.seva else TERANGA))))


if __name__ == "__main__":
    main()
