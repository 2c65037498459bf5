"""Reads the health and load of the backend server beside."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.exceptions import UnreachableError
from hoisthook.identity import format_address
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.node.call import Lost

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.admission.running_requests import RunningRequests
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.identity import Address
    from hoisthook.mesh.observed_backend import ObservedBackend
    from hoisthook.port.backend_wire import BackendWire
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog

# The backend server is on the same instance, where a connection takes about a millisecond.
CONNECT_SECONDS = 0.1
# Health is answered at once, whatever the load; a later answer is no use to whoever waits.
ANSWER_SECONDS = 0.05
# How long a backend server that refuses connections is left alone.
UNREACHABLE_SECONDS = 0.3
UNHEALTHY_STATUS = 500
OK = 200


class HealthReader:
    """One read at a time, shared by all that ask meanwhile.

    Parameters
    ----------
    address : Address
        The backend server's.
    wire : BackendWire
        Reads its answers.
    pool : ClientPool
        Connections to it.
    observed_backend : ObservedBackend
        Gets the state that is read.
    speed : ServerSpeed
        Gets the load that is read.
    running : RunningRequests
        Told when nothing runs there.
    clock : Clock
        Monotonic.
    log : EventLog
        Gets a line for a read that is not answered.
    """

    def __init__(
        self,
        address: Address,
        wire: BackendWire,
        pool: ClientPool,
        observed_backend: ObservedBackend,
        speed: ServerSpeed,
        running: RunningRequests,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._address = address
        self._wire = wire
        self._pool = pool
        self._observed_backend = observed_backend
        self._speed = speed
        self._running = running
        self._clock = clock
        self._log = log
        self._reading: asyncio.Task[None] | None = None
        self._on_cold: Callable[[float, float], None] | None = None
        self.path: str | None = None

    def on_cold(self, listener: Callable[[float, float], None]) -> None:
        """Have ``listener`` told for how long the server is cold, and when it was asked."""
        self._on_cold = listener

    @property
    def is_reading(self) -> bool:
        """Return whether a read is under way."""
        return self._reading is not None and not self._reading.done()

    async def read(self) -> None:
        """Read once, or wait for the read under way."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._read())
        await asyncio.shield(self._reading)

    def close(self) -> None:
        """Stop a read that is under way."""
        if self._reading is not None:
            self._reading.cancel()

    async def _read(self) -> None:
        if self.path is None:
            return
        try:
            connection = await self._pool.acquire(self._address, CONNECT_SECONDS)
        except UnreachableError:
            self._observed_backend.unreachable(self._clock.now(), UNREACHABLE_SECONDS)
            return
        asked_at = self._clock.now()
        answered = await exchange_buffered(
            connection,
            b"GET",
            self.path.encode(),
            [(b"host", format_address(self._address).encode())],
            b"",
            timeout=ANSWER_SECONDS,
            accepts=self._wire.answers_health,
        )
        if isinstance(answered, Lost):
            self._log.event("health_unanswered", instance=self._observed_backend.instance)
            return
        self._pool.keep(self._address, connection)
        head, _ = answered
        reading = self._wire.read(head)
        if head.status >= UNHEALTHY_STATUS:
            self._observed_backend.refused_health()
        elif reading.instance is not None:
            self._observed_backend.answered_as(reading.instance)
        # A refusal for want of a slot says nothing of cold, also where the server is.
        if self._on_cold is not None and (head.status == OK or reading.cold_seconds > 0):
            self._on_cold(reading.cold_seconds, asked_at)
        if reading.load is not None:
            self._observed_backend.loaded(reading.load)
            self._running.reported(reading.load.running + reading.load.waiting)
            self._speed.slow_periods.reported(reading.load.slowdown, self._clock.now())
