from __future__ import annotations

import asyncio
import sys

PORTS = 300
PROGRAM = f"""
from standin.loopback_ports import free_address
print(*[free_address() for _ in range({PORTS})], flush=True)
input()
"""


async def test_processes_side_by_side_are_given_no_port_twice() -> None:
    """Guards against a node that cannot be restarted since another process took its port."""
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            PROGRAM,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(3)
    ]
    addresses: list[bytes] = []
    for process in processes:
        assert process.stdout is not None
        addresses.extend((await process.stdout.readline()).split())
    for process in processes:
        await process.communicate(b"\n")
    assert len(addresses) == PORTS * len(processes)
    assert len(set(addresses)) == len(addresses)
