"""Reads the health and load of the local backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.exceptions import UnreachableError
from hoisthook.identity import format_address
from hoisthook.mesh.backend_notices import AnswerSource
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.node.call import Lost

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.admission.running_requests import RunningRequests
    from hoisthook.admission.server_speed import ServerSpeed
    from hoisthook.identity import Address
    from hoisthook.mesh.backend_notices import BackendNotices
    from hoisthook.mesh.observed_backend import ObservedBackend
    from hoisthook.port.backend_wire import BackendWire
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog

# The backend server runs on the same instance, where a connection takes about a millisecond.
CONNECT_SECONDS = 0.1
# Health checks are answered at once under any load, and requests wait for the answer.
ANSWER_SECONDS = 0.05
# Time for which a backend server that refuses connections is sent no requests.
UNREACHABLE_BACKOFF_SECONDS = 0.3
UNHEALTHY_STATUS = 500
OK = 200


class HealthReader:
    """Reads the health of the backend server, one read at a time shared by all that wait for it.

    Parameters
    ----------
    address : Address
        Address of the backend server.
    wire : BackendWire
        Parser of its answers.
    pool : ClientPool
        Connections to it.
    observed_backend : ObservedBackend
        Notified of the state that is read.
    speed : ServerSpeed
        Notified of the slowdown that is read.
    running : RunningRequests
        Notified of the number of requests at the backend server.
    notices : BackendNotices
        Notified of limits and of a backend server that leaves.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives a record of each read that is not answered in time.

    Attributes
    ----------
    path : str or None
        Path of the health check, set by the owner; None, and nothing is read, until it is known.
    """

    def __init__(
        self,
        address: Address,
        wire: BackendWire,
        pool: ClientPool,
        observed_backend: ObservedBackend,
        speed: ServerSpeed,
        running: RunningRequests,
        notices: BackendNotices,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._address = address
        self._wire = wire
        self._pool = pool
        self._observed_backend = observed_backend
        self._speed = speed
        self._running = running
        self._notices = notices
        self._clock = clock
        self._log = log
        self._read_task: asyncio.Task[bool] | None = None
        self._on_cold: Callable[[float, float], None] | None = None
        self.path: str | None = None

    def on_cold(self, listener: Callable[[float, float], None]) -> None:
        """Register a listener for the remaining cold seconds and the time of the health check."""
        self._on_cold = listener

    @property
    def is_reading(self) -> bool:
        """Return whether a read is in progress."""
        return self._read_task is not None and not self._read_task.done()

    async def read(self) -> bool:
        """Read once, or wait for the read in progress; return whether there was an answer."""
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.get_running_loop().create_task(self._read())
        return await asyncio.shield(self._read_task)

    def close(self) -> None:
        """Cancel a read in progress."""
        if self._read_task is not None:
            self._read_task.cancel()

    async def _read(self) -> bool:
        if self.path is None:
            return False
        try:
            connection = await self._pool.acquire(self._address, CONNECT_SECONDS)
        except UnreachableError:
            self._observed_backend.unreachable(self._clock.now(), UNREACHABLE_BACKOFF_SECONDS)
            return False
        requested_at = self._clock.now()
        sent_at = self._observed_backend.evidence.now()
        answer = await exchange_buffered(
            connection,
            b"GET",
            self.path.encode(),
            [(b"host", format_address(self._address).encode())],
            b"",
            timeout=ANSWER_SECONDS,
            accepts=self._wire.answers_health,
        )
        if isinstance(answer, Lost):
            self._log.event("health_unanswered", instance=self._observed_backend.instance)
            return False
        self._pool.keep(self._address, connection)
        head, _ = answer
        self._observed_backend.has_answered = True
        reading = self._wire.read(head)
        is_healthy = head.status < UNHEALTHY_STATUS
        if reading.instance is not None:
            self._observed_backend.answered_as(reading.instance, sent_at, is_healthy=is_healthy)
        elif not is_healthy:
            self._observed_backend.reported_unhealthy()
        # An answer that refuses for lack of slots may leave out that the server is cold.
        if self._on_cold is not None and (head.status == OK or reading.cold_seconds > 0):
            self._on_cold(reading.cold_seconds, requested_at)
        instance = reading.instance or self._observed_backend.instance
        self._notices.apply(
            reading.notice,
            AnswerSource.HEALTH,
            instance,
            requested_at=requested_at,
            now=self._clock.now(),
        )
        if reading.load is not None:
            self._observed_backend.load_reported(reading.load)
            self._running.reported(reading.load.running + reading.load.waiting)
            self._speed.slow_periods.reported(reading.load.slowdown, self._clock.now())
        return True
