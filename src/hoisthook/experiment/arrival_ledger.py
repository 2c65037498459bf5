"""What reached the backend servers of each service, and what callers asked of it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import RequestId
    from hoisthook.identity import ServiceName


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """One window of a service.

    Attributes
    ----------
    begins : float
        Seconds.
    beyond : int
        Arrivals beyond the first of their request.
    allowed : float
        How many may be.
    """

    begins: float
    beyond: int
    allowed: float


@dataclass(slots=True)
class ArrivalLedger:
    """Adds up over all nodes what each of them sees a part of.

    Attributes
    ----------
    requested_by_service, beyond_by_service : dict of ServiceName to list of float
        When callers sent requests, and when more than the first of a request arrived.
    """

    requested_by_service: dict[ServiceName, list[float]] = field(default_factory=dict)
    beyond_by_service: dict[ServiceName, list[float]] = field(default_factory=dict)
    _arrived: set[RequestId] = field(default_factory=set)

    def requested(self, service: ServiceName, now: float) -> None:
        """Note a request of a caller, whether it arrives or not."""
        self.requested_by_service.setdefault(service, []).append(now)

    def arrived(
        self, service: ServiceName, request: RequestId, now: float, *, by_repeat: bool
    ) -> bool:
        """Note an arrival at a backend server; return whether its run is a repeat.

        Parameters
        ----------
        service : ServiceName
            Where it arrives.
        request : RequestId
            Of a caller, or of a call.
        now : float
            The moment.
        by_repeat : bool
            Whether it is a call of a run that is a repeat itself.
        """
        is_repeat = by_repeat or request in self._arrived
        self._arrived.add(request)
        if is_repeat:
            self.beyond_by_service.setdefault(service, []).append(now)
        return is_repeat

    def fullest(
        self, service: ServiceName, *, ratio: float, window: float, extra: float
    ) -> RetryWindow:
        """Return the window that has least room left, or most beyond what is allowed.

        Requests count in the window, the one before, or the one half a window before, whichever
        has most.
        """
        beyond = self.beyond_by_service.get(service, [])
        requested = self.requested_by_service.get(service, [])
        windows = (
            RetryWindow(begin, made, ratio * self._asked(requested, begin, window) + extra)
            for begin in beyond
            for made in [_within(beyond, begin, window)]
        )
        none = RetryWindow(0.0, 0, extra)
        return max(windows, key=lambda w: w.beyond - w.allowed, default=none)

    @staticmethod
    def _asked(requested: list[float], begin: float, window: float) -> int:
        begins = (begin, begin - window / 2.0, begin - window)
        return max(_within(requested, moment, window) for moment in begins)


def _within(moments: list[float], begin: float, window: float) -> int:
    return sum(1 for moment in moments if begin <= moment < begin + window)
