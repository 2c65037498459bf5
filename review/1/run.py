"""Case 1: a heartbeat that arrives late revives a backend server that has deregistered."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from common.backend import Backend
from common.platform import BOUNDS
from common.platform import LIMITS
from common.platform import CannotRunError
from common.platform import Machine
from common.platform import Platform
from common.platform import route
from common.platform import service_spec
from common.script import TROUBLE
from common.script import run
from common.wire import call_once
from common.wire import encode_request

if TYPE_CHECKING:
    from common.record import Record
    from common.store import Store

FOLDER = Path(__file__).resolve().parent
ZONES = ("salt-lake-hall", "howrah-hall", "barasat-hall")
FRONT, DESK = "callout-hub", "signon-desk"
TIMEOUT = 1.0
PER_SECOND = 60
STABLE_SECONDS: float = BOUNDS["stableWindowS"]
DRAIN_SECONDS: float = BOUNDS["drainS"]
# How late one heartbeat arrives ("seconds late").
LATE_SECONDS = 3.0
# How long the server goes on after its acknowledgement ("at times many seconds").
SERVES_SECONDS = 12.0
# Values of TROUBLE besides 0: only one of the two disruptions, or both.
LATE, KILL, BOTH = "late", "kill", TROUBLE


class Clients:
    """Clients of the front machines, which send requests that may run once at most.

    Attributes
    ----------
    sent : dict
        Time, machine and status (0 if the connection ended without an answer) by request id.
    """

    def __init__(self, machines: list[Machine], record: Record) -> None:
        self._machines = machines
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent: dict[str, tuple[float, str, int]] = {}

    async def run(self, seconds: float) -> None:
        """Send requests evenly for a time, and await their answers."""
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            number += 1
            machine = self._machines[number % len(self._machines)]
            task = asyncio.create_task(self._send(machine, f"q{number:05d}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / PER_SECOND)
        await asyncio.gather(*self._tasks)

    async def _send(self, machine: Machine, name: str) -> None:
        headers = {
            "Host": f"{DESK}.example",
            "X-Request-Id": name,
            "X-Deadline-Ms": f"{round(TIMEOUT * 1000)}",
        }
        sent_at = time.monotonic()
        data = encode_request("POST", "/sign/x", headers, b"one volunteer")
        response = await call_once(machine.outbound, data, TIMEOUT + 0.5)
        status = 0 if response is None else response.status
        self.sent[name] = (sent_at, machine.name, status)
        self._record.write(
            "answered",
            request=name,
            node=machine.name,
            sent=self._record.seconds(sent_at),
            status=status,
        )


async def leave(
    leaving: Backend, machine: Machine, platform: Platform, trouble: str
) -> tuple[float, float]:
    """Let a server leave; return when that was acknowledged, and when its node is in touch."""
    # Sent while the server was ready; without the disruption it arrives at once.
    if trouble in (LATE, BOTH):
        leaving.heartbeat_late(LATE_SECONDS)
    else:
        await leaving.heartbeat()
    await asyncio.sleep(0.3)
    if await leaving.deregister() != 200:
        raise CannotRunError("the deregistration was not acknowledged")
    acked_at = time.monotonic()
    await asyncio.sleep(0.3)
    if trouble in (KILL, BOTH):
        await platform.kill(machine)
        await platform.restart(machine)
        await platform.until_ready(machine)
    return acked_at, machine.started_at + STABLE_SECONDS


async def play(platform: Platform, store: Store, record: Record, trouble: str) -> bool:
    """Play the case; return whether the rule held."""
    fronts = [platform.add(f"front-{zone}", FRONT, zone) for zone in ZONES]
    desks = [platform.add(f"desk-{zone}", DESK, zone) for zone in ZONES]
    resources = [
        route("sign", DESK, kind="unsafe", timeout=TIMEOUT, target=0.25),
        service_spec(FRONT),
        service_spec(DESK),
        LIMITS,
    ]
    record.write("configuration", resources=resources)
    configuration = {"version": 3, "baseVersion": 0, "resources": resources}
    store.put("keyed.op", "config", json.dumps(configuration).encode())
    backends = [
        Backend(m.name, m.service, f"i-{i:04x}", m.app, m.control, record)
        for i, m in enumerate(platform.machines)
    ]
    for backend in backends:
        await backend.start()
    await platform.start_all()
    await asyncio.sleep(5.0)
    leaving, machine = backends[len(fronts)], desks[0]
    clients = Clients(fronts, record)
    traffic = asyncio.create_task(clients.run(20.0))
    await asyncio.sleep(2.0)
    acked_at, in_touch_at = await leave(leaving, machine, platform, trouble)
    await asyncio.sleep(max(0.0, acked_at + SERVES_SECONDS - time.monotonic()))
    leaving.exit()
    await traffic
    return judge(clients, leaving, acked_at, in_touch_at, record)


def judge(
    clients: Clients, leaving: Backend, acked_at: float, in_touch_at: float, record: Record
) -> bool:
    """Check the rule DRAIN; return whether it held."""
    from_then = max(acked_at + DRAIN_SECONDS, in_touch_at)
    late = [(at, name) for at, name in leaving.runs if at > from_then]
    answered = [status for _, _, status in clients.sent.values()]
    by_status = {status: answered.count(status) for status in sorted(set(answered))}
    record.say(f"requests sent: {len(answered)}; answers by status (0: none): {by_status}")
    record.say(f"acknowledged that {leaving.name} is gone at {record.seconds(acked_at)} s")
    record.say(
        f"from {record.seconds(from_then)} s on (drainS after that, all nodes in touch) it may"
        f" get no request; it got {len(late)}"
    )
    if late:
        first, last = late[0], late[-1]
        record.say(
            f"first {first[1]} at {record.seconds(first[0])} s, last {last[1]} at"
            f" {record.seconds(last[0])} s"
        )
    for name in leaving.lost:
        _, _, status = clients.sent.get(name, (0.0, "", 0))
        record.say(f"{name} ran when the server exited as planned; its client got {status}")
    return not late


if __name__ == "__main__":
    sys.exit(run(FOLDER, "DRAIN", play))
