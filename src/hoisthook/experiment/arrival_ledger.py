"""Counts of requests by callers and of repeats at backend servers, per service."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import RequestId
    from hoisthook.identity import ServiceName


@dataclass(frozen=True, slots=True)
class RepeatWindow:
    """Repeats of a service within one time window, and their limit.

    Attributes
    ----------
    start : float
        Start of the window in seconds.
    beyond : int
        Arrivals in the window after the first of their request.
    allowed : float
        Limit of the repeats in the window.
    """

    start: float
    beyond: int
    allowed: float


@dataclass(slots=True)
class ArrivalLedger:
    """Records requests and arrivals over all nodes; a single node sees only a part of them.

    Attributes
    ----------
    request_times_by_service, repeat_times_by_service : dict of ServiceName to list of float
        Times, in seconds, at which callers sent requests and at which repeats arrived.
    """

    request_times_by_service: dict[ServiceName, list[float]] = field(default_factory=dict)
    repeat_times_by_service: dict[ServiceName, list[float]] = field(default_factory=dict)
    _arrived_requests: set[RequestId] = field(default_factory=set)

    def requested(self, service: ServiceName, now: float) -> None:
        """Record a request of a caller, whether or not it arrives at a backend server."""
        self.request_times_by_service.setdefault(service, []).append(now)

    def arrived(
        self, service: ServiceName, request: RequestId, now: float, *, by_repeat: bool
    ) -> bool:
        """Record an arrival at a backend server; return whether its execution is a repeat.

        Parameters
        ----------
        service : ServiceName
            Service of the backend server.
        request : RequestId
            Id of the caller's request, or of the call.
        now : float
            Time of the arrival in seconds.
        by_repeat : bool
            Whether it is a call made by an execution that is a repeat itself.
        """
        is_repeat = by_repeat or request in self._arrived_requests
        self._arrived_requests.add(request)
        if is_repeat:
            self.repeat_times_by_service.setdefault(service, []).append(now)
        return is_repeat

    def fullest(
        self, service: ServiceName, *, ratio: float, window: float, extra: float
    ) -> RepeatWindow:
        """Return the window with the least remaining budget, or the largest excess over it.

        The limit of a window is ``extra`` plus ``ratio`` times the most requests in any of three
        windows: this one, the one before it, and the one that starts half a window earlier.
        """
        repeat_times = self.repeat_times_by_service.get(service, [])
        request_times = self.request_times_by_service.get(service, [])
        windows = (
            RepeatWindow(
                start, count, ratio * self._request_count(request_times, start, window) + extra
            )
            for start in repeat_times
            for count in [_count_within(repeat_times, start, window)]
        )
        empty = RepeatWindow(0.0, 0, extra)
        return max(windows, key=lambda w: w.beyond - w.allowed, default=empty)

    @staticmethod
    def _request_count(request_times: list[float], start: float, window: float) -> int:
        starts = (start, start - window / 2.0, start - window)
        return max(_count_within(request_times, begin, window) for begin in starts)


def _count_within(times: list[float], start: float, window: float) -> int:
    return sum(1 for time in times if start <= time < start + window)
