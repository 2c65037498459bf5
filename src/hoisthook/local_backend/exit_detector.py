"""Distinguishes an exit of the backend server from a dropped connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.background_tasks import BackgroundTasks
from hoisthook.exceptions import UnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.identity import Address
    from hoisthook.identity import InstanceId
    from hoisthook.identity import RequestId
    from hoisthook.identity import WorkId
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_sink import EventSink

# A connection within the same instance takes about a millisecond.
CONNECT_SECONDS = 0.1
# A backend server that exited is restarted within seconds, as another incarnation. If none has
# appeared by then, the connection was dropped for another reason.
PENDING_SECONDS = 10.0
# Larger than the number of requests that a backend server executes at once.
MAX_PENDING = 256


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose connection to the backend server broke during its execution.

    Attributes
    ----------
    request_id : RequestId
        Id given by the caller.
    work : WorkId
        Id of the work that it asked for.
    instance : InstanceId
        Incarnation that executed it.
    at : float
        Time at which the connection broke, on the node's clock.
    """

    request_id: RequestId
    work: WorkId
    instance: InstanceId
    at: float


class ExitDetector:
    """Keeps recently lost requests until it is known whether their backend server exited.

    The backend server has exited if no connection to it can be opened, or if another incarnation
    replaces it. It has not if the same incarnation answers a later request. The exit of a backend
    server that was draining is planned, so its requests are not recorded.

    Parameters
    ----------
    address : callable
        Returns the address of the backend server.
    pool : ClientPool
        Connections to the backend server.
    takes_work : callable
        Returns whether the backend server takes new requests; False while it drains.
    clock : Clock
        Monotonic.
    log : EventSink
        Receives a record of each exit.
    """

    def __init__(
        self,
        address: Callable[[], Address],
        pool: ClientPool,
        takes_work: Callable[[], bool],
        clock: Clock,
        log: EventSink,
    ) -> None:
        self._address = address
        self._pool = pool
        self._takes_work = takes_work
        self._clock = clock
        self._log = log
        self._pending: list[LostRequest] = []
        self._listeners: list[Callable[[list[LostRequest]], None]] = []
        self._checks = BackgroundTasks()
        self._is_checking = False

    def on_exit(self, listener: Callable[[list[LostRequest]], None]) -> None:
        """Register ``listener`` for the requests lost at each exit of a backend server."""
        self._listeners.append(listener)

    def close(self) -> None:
        """Cancel the connection check in progress."""
        self._checks.close()

    def request_lost(self, lost: LostRequest) -> None:
        """Record that a connection broke during the execution of a request."""
        self._pending = self._recent()
        if not self._takes_work() or len(self._pending) >= MAX_PENDING:
            return
        self._pending.append(lost)
        if not self._is_checking:
            self._is_checking = True
            self._checks.start(self._check())

    def answered(self, instance: InstanceId | None, sent_at: float) -> None:
        """Record that an incarnation answered a request sent at ``sent_at``.

        Requests lost before then did not make it exit. Those lost later stay pending, as the
        answer may have been in transit when the backend server exited.
        """
        if self._pending:
            self._pending = [
                lost for lost in self._pending if lost.instance != instance or lost.at >= sent_at
            ]

    def replaced(self) -> None:
        """Record that another incarnation has replaced the previous one."""
        self._report_exit("replaced")

    async def _check(self) -> None:
        address = self._address()
        try:
            connection = await self._pool.open(address, CONNECT_SECONDS)
        except UnreachableError:
            self._report_exit("unreachable")
        else:
            self._pool.keep(address, connection)
        finally:
            self._is_checking = False

    def _recent(self) -> list[LostRequest]:
        since = self._clock.now() - PENDING_SECONDS
        return [lost for lost in self._pending if lost.at >= since]

    def _report_exit(self, how: str) -> None:
        lost_requests = self._recent()
        self._pending = []
        if not lost_requests:
            return
        self._log.event(
            "backend_ended",
            instance=lost_requests[0].instance,
            how=how,
            requests=[lost.request_id for lost in lost_requests],
            work=[lost.work for lost in lost_requests],
        )
        for listener in self._listeners:
            listener(lost_requests)
