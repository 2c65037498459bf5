"""Reads the load endpoint of the local backend server within the budget."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from hoisthook.adapter.http.message import encode_request_head
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import UnreachableError

if TYPE_CHECKING:
    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.measure.measure_budget import MeasureBudget
    from hoisthook.node.local_backend import LocalBackend
    from hoisthook.port.clock import Clock

READ_TIMEOUT_SECONDS = 0.25
DISABLED_CHECK_SECONDS = 1.0
MAX_BODY_BYTES = 4096
MAX_FOREIGN_SHARE = 0.5


class LoadReading(msgspec.Struct):
    """Answer of a backend server's load endpoint."""

    active: int
    healthy: bool = True


class Measurer:
    """Measures foreign load: requests that a backend server runs and that did not pass its node.

    A reading is out of date when it arrives and may be wrong, so foreign load
    can occupy at most `MAX_FOREIGN_SHARE` of the slots.

    Parameters
    ----------
    local_backend : LocalBackend
        The local backend server, whose ``foreign_load`` is set.
    pool : ClientPool
        Connections to the backend server.
    budget : MeasureBudget
        Limits the rate of reads.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    path : str
        Path of the load endpoint; empty if the backend server has none.
    """

    def __init__(
        self, local_backend: LocalBackend, pool: ClientPool, budget: MeasureBudget, clock: Clock
    ) -> None:
        self._local_backend = local_backend
        self._pool = pool
        self._budget = budget
        self._clock = clock
        self.path = ""

    @property
    def budget(self) -> MeasureBudget:
        """Return the budget, whose totals are exported as metrics."""
        return self._budget

    async def run(self) -> None:
        """Read whenever the budget allows, until cancelled."""
        while True:
            rate = self._budget.rate
            await asyncio.sleep(1.0 / rate if rate > 0 else DISABLED_CHECK_SECONDS)
            if (
                self.path
                and self._local_backend.takes_work()
                and self._budget.take(self._clock.now())
            ):
                await self.read()

    async def read(self) -> None:
        """Read once; a failed read is counted and otherwise ignored."""
        started = self._clock.now()
        running = self._local_backend.gate.running
        request = encode_request_head(
            b"GET", self.path.encode(), [(b"host", b"load"), (b"accept", b"application/json")]
        )
        size = len(request)
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                connection = await self._pool.acquire(
                    self._local_backend.address, READ_TIMEOUT_SECONDS
                )
                body = await self._fetch(connection, request)
        except (UnreachableError, BrokenExchangeError, TimeoutError):
            self._budget.account(size, self._clock.now() - started)
            return
        self._budget.account(size + len(body), self._clock.now() - started)
        self._learn(body, running)

    async def _fetch(self, connection: ClientConnection, request: bytes) -> bytes:
        body = b""
        try:
            await connection.send(request)
            while data := await connection.body.read():
                body += data
                if len(body) > MAX_BODY_BYTES:
                    raise BrokenExchangeError("load reading exceeds the size limit")
        finally:
            self._pool.keep(self._local_backend.address, connection)
        return body

    def _learn(self, body: bytes, running_before: int) -> None:
        try:
            reading = msgspec.json.decode(body, type=LoadReading)
        except msgspec.DecodeError:
            return
        gate = self._local_backend.gate
        max_foreign = int(gate.slots * MAX_FOREIGN_SHARE)
        foreign = reading.active - max(running_before, gate.running)
        if not reading.healthy:
            foreign = max_foreign
        self._local_backend.foreign_load = min(max_foreign, max(0, foreign))
