"""Memory and descriptors of a process, as its machine counts them."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SAMPLE_SECONDS = 0.05
KIB = 1024


def peak_resident_bytes(pid: int) -> int:
    """Return the most memory that a process has had resident so far."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIB
    raise ProcessLookupError(pid)


def unread_bytes(ports: frozenset[int]) -> int:
    """Return the bytes received at local ports that their process has not read yet."""
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = (line.split() for line in lines)
    return sum(int(f[4].split(":")[1], 16) for f in fields if int(f[1].split(":")[1], 16) in ports)


def descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class ProcessUsage:
    """Records the peaks of a process until it is closed.

    Attributes
    ----------
    memory : int
        Peak of the resident memory and the bytes received and not yet read, in bytes. The latter
        are sampled.
    descriptors : int
        Most open descriptors in a sample.
    """

    def __init__(self, pid: int, ports: Iterable[int]) -> None:
        self._pid = pid
        self._ports = frozenset(ports)
        self._task: asyncio.Task[None] | None = None
        self._unread = 0
        self.memory = 0
        self.descriptors = 0

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._sample()

    async def _run(self) -> None:
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def _sample(self) -> None:
        with contextlib.suppress(OSError):
            self._unread = max(self._unread, unread_bytes(self._ports))
            self.memory = max(self.memory, peak_resident_bytes(self._pid) + self._unread)
            self.descriptors = max(self.descriptors, descriptors(self._pid))
