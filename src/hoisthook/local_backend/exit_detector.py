"""Tells a backend server that ended from one that dropped a connection."""

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

# On the same instance a connection takes about a millisecond.
CONNECT_SECONDS = 0.1
# A backend server that ended is back, under another incarnation, within some seconds; one that
# has said nothing else by then has dropped the connection for a reason of its own.
PENDING_SECONDS = 10.0
# More than any backend server runs at once.
MAX_PENDING = 256


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose connection to the backend server broke while it ran.

    Attributes
    ----------
    request_id : RequestId
        The caller's.
    work : WorkId
        What it asked for.
    instance : InstanceId
        The incarnation that ran it.
    at : float
        When the connection broke, on the node's clock.
    """

    request_id: RequestId
    work: WorkId
    instance: InstanceId
    at: float


class ExitDetector:
    """Holds the requests lost lately until it is known whether their backend server ended.

    It has ended if no connection to it can be opened, or if another incarnation takes its place;
    it has not if the same one answers. One that was about to leave ends as planned, and what ran
    in it is not to blame.

    Parameters
    ----------
    address : callable
        Returns the backend server's.
    pool : ClientPool
        Connections to it.
    takes_work : callable
        Returns whether it was to take work.
    clock : Clock
        Monotonic.
    log : EventSink
        Gets a line for each end.
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

    def on_ended(self, listener: Callable[[list[LostRequest]], None]) -> None:
        """Have ``listener`` told what ran in a backend server that ended."""
        self._listeners.append(listener)

    def close(self) -> None:
        """Stop the check that is under way."""
        self._checks.close()

    def broken(self, lost: LostRequest) -> None:
        """Note that a request's connection broke while it ran."""
        self._pending = self._recent()
        if not self._takes_work() or len(self._pending) >= MAX_PENDING:
            return
        self._pending.append(lost)
        if not self._is_checking:
            self._is_checking = True
            self._checks.start(self._check())

    def answered(self, instance: InstanceId | None, sent_at: float) -> None:
        """Note that an incarnation answered what was sent to it at some moment.

        What was lost before has not ended it; an answer to something sent earlier may have been
        on its way as it ended.
        """
        if self._pending:
            self._pending = [
                lost for lost in self._pending if lost.instance != instance or lost.at >= sent_at
            ]

    def replaced(self) -> None:
        """Note that another incarnation has taken the place of one."""
        self._ended("replaced")

    async def _check(self) -> None:
        address = self._address()
        try:
            connection = await self._pool.open(address, CONNECT_SECONDS)
        except UnreachableError:
            self._ended("unreachable")
        else:
            self._pool.keep(address, connection)
        finally:
            self._is_checking = False

    def _recent(self) -> list[LostRequest]:
        since = self._clock.now() - PENDING_SECONDS
        return [lost for lost in self._pending if lost.at >= since]

    def _ended(self, how: str) -> None:
        ended = self._recent()
        self._pending = []
        if not ended:
            return
        self._log.event(
            "backend_ended",
            instance=ended[0].instance,
            how=how,
            requests=[lost.request_id for lost in ended],
            work=[lost.work for lost in ended],
        )
        for listener in self._listeners:
            listener(ended)
