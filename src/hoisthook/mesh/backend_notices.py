"""Applies what a backend server says about itself in its answers: a rate limit, and leaving."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.identity import InstanceId
    from hoisthook.mesh.observed_backend import ObservedBackend
    from hoisthook.port.backend_wire import ServerNotice
    from hoisthook.port.event_log import EventLog

MAX_LOGGED_VALUE = 40
# A value that cannot be read stands in all answers; it is logged this often at most.
UNREADABLE_LOG_SECONDS = 10.0


class AnswerSource(Enum):
    """What an answer of the backend server answers."""

    REQUEST = "request"
    HEALTH = "health"


class BackendNotices:
    """Applies the notices in the answers of the current incarnation.

    A limit is in force as long as answers name it. One that does not, to a request that was sent
    after the limit had been named, ends it; answers to health reads do so only if they have named
    it before. A value that cannot be read changes nothing.

    Parameters
    ----------
    observed_backend : ObservedBackend
        Notified of a backend server that leaves.
    log : EventLog
        Receives events for limits that are named, end or cannot be read.
    """

    def __init__(self, observed_backend: ObservedBackend, log: EventLog) -> None:
        self._observed_backend = observed_backend
        self._log = log
        self._listeners: list[Callable[[float | None], None]] = []
        self._per_second: float | None = None
        self._named_at = -math.inf
        self._named_by: InstanceId | None = None
        self._naming_sources: set[AnswerSource] = set()
        self._unreadable_logged_at = -math.inf

    def on_limit(self, listener: Callable[[float | None], None]) -> None:
        """Have ``listener`` called with each new limit in requests per second, None for its end."""
        self._listeners.append(listener)

    def forget(self) -> None:
        """Discard all notices, unless they are those of the incarnation that runs now."""
        if self._named_by is not None and self._named_by == self._observed_backend.instance:
            return
        self._named_at = -math.inf
        self._naming_sources.clear()
        self._set_limit(None, "incarnation")

    def apply(
        self,
        notice: ServerNotice,
        source: AnswerSource,
        instance: InstanceId | None,
        *,
        requested_at: float,
        now: float,
    ) -> None:
        """Apply the notice of an answer.

        Parameters
        ----------
        notice : ServerNotice
            The notice.
        source : AnswerSource
            What was answered.
        instance : InstanceId or None
            Incarnation that answered; notices of another one than the current are ignored.
        requested_at, now : float
            When the request was sent and when its answer arrived.
        """
        current = self._observed_backend.instance
        if current is not None and instance != current:
            return
        if notice.is_leaving:
            self._observed_backend.reported_leaving()
        if notice.unreadable_limit is not None:
            self._log_unreadable(notice.unreadable_limit, now)
        elif notice.requests_per_second is not None:
            self._named_by = instance
            self._named(notice.requests_per_second, source, now)
        elif requested_at >= self._named_at and (
            source is AnswerSource.REQUEST or source in self._naming_sources
        ):
            self._set_limit(None, source.value)

    def _named(self, per_second: float, source: AnswerSource, now: float) -> None:
        self._named_at = now
        self._naming_sources.add(source)
        self._set_limit(per_second, source.value)

    def _set_limit(self, per_second: float | None, source: str) -> None:
        if per_second == self._per_second:
            return
        self._per_second = per_second
        self._log.event(
            "backend_limited",
            instance=self._observed_backend.instance,
            per_second=per_second,
            source=source,
        )
        for listener in self._listeners:
            listener(per_second)

    def _log_unreadable(self, value: bytes, now: float) -> None:
        if now - self._unreadable_logged_at < UNREADABLE_LOG_SECONDS:
            return
        self._unreadable_logged_at = now
        self._log.event(
            "backend_limit_unreadable",
            code=ResultCode.SERVER_LIMIT_UNREADABLE.number,
            instance=self._observed_backend.instance,
            value=value[:MAX_LOGGED_VALUE].decode("latin-1"),
        )
