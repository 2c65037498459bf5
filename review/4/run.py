"""Case 4: the address of a backend server that is gone goes to a server of another service."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from review.second.case import run_case
from review.second.client import send
from review.second.server import BackendServer

if TYPE_CHECKING:
    from review.second.deployment import Deployment

REUSE_AFTER_SECONDS = 2.0
CALM_SECONDS = 4.0
AFTER_SECONDS = 8.0
REQUESTS_PER_SECOND = 25.0
ZONES = ("kaolack", "fatick", "kaffrine")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Without it the node's settings stay as they were, for comparison.
SETTINGS_FOLLOW = os.environ.get("SETTINGS_FOLLOW", "1") != "0"


async def send_requests(deployment: Deployment, seconds: float) -> None:
    """Send requests for `recharge` to all nodes at a steady rate."""
    randomness = random.Random(4)
    pending = []
    for number in range(int(seconds * REQUESTS_PER_SECOND)):
        outbound = randomness.choice(deployment.machines).outbound
        path, method, body = ("/safe/x", "GET", b"") if number % 2 else ("/unsafe/x", "POST", b"7")
        pending.append(
            asyncio.ensure_future(
                send(
                    outbound, "recharge.example", path, deployment.record, method=method, body=body
                )
            )
        )
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    await asyncio.gather(*pending)


async def play(deployment: Deployment) -> int:
    """Play the case; return how many requests were run by a server of another service."""
    record = deployment.record
    for zone in ZONES:
        deployment.plan("recharge", zone)
        deployment.plan("antennes", zone)
    await deployment.start()
    servers = [machine.server for machine in deployment.machines]
    # The nodes of a common start know each other after a few seconds; traffic starts at 10 s.
    await asyncio.sleep(5.0)
    await send_requests(deployment, CALM_SECONDS)
    if TROUBLE:
        machine = deployment.machines[0]
        machine.server.crash()
        ended_at = record.seconds()
        calm = asyncio.ensure_future(send_requests(deployment, REUSE_AFTER_SECONDS + 0.5))
        await asyncio.sleep(REUSE_AFTER_SECONDS + 0.5)
        await calm
        # The platform gives the address to a server of another service, writes that into the
        # settings of the node there and says so.
        if SETTINGS_FOLLOW:
            machine.service = "antennes"
            deployment.write_settings(machine)
            deployment.signal(machine, signal.SIGHUP)
        successor = BackendServer(
            "antennes", "i-9001", machine.app, machine.control, machine.zone, record
        )
        await successor.start()
        machine.server = successor
        servers.append(successor)
        record.say(f"{machine.app} is reused {record.seconds() - ended_at:.1f} s after its end")
    await send_requests(deployment, AFTER_SECONDS)
    foreign = [
        (server, run)
        for server in servers
        if server.service != "recharge"
        for run in server.runs
        if run.path.split("/")[1] in ("safe", "unsafe")
    ]
    own = sum(len(server.runs) for server in servers if server.service == "recharge")
    record.say(f"{own} requests for recharge were run by servers of recharge")
    for server, run in foreign[:3]:
        record.say(f"at {run.at:.3f} {run.request_id} was run by {server.instance}, of antennes")
    record.say(f"{len(foreign)} requests for recharge were run by a server of antennes")
    return len(foreign)


if __name__ == "__main__":
    sys.exit(
        run_case(
            Path(__file__).resolve().parent,
            "ROUTE",
            play,
            "backend_instance",
            "announcement_unreadable",
            "settings_read",
        )
    )
