"""An ingress node's estimate of one backend server's load."""

from __future__ import annotations

import math
from dataclasses import dataclass

REPORT_HALF_LIFE_SECONDS = 0.010
LATENCY_SMOOTHING = 0.1
NETWORK_SMOOTHING = 0.1
INITIAL_SERVICE_SECONDS = 0.005


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that the node of a backend server reports with each answer.

    Attributes
    ----------
    running : int
        Requests holding a slot.
    limit : int
        How many requests may hold a slot.
    waiting : int
        Requests in its queue.
    service_seconds : float
        Usual service time of a request there.
    """

    running: int
    limit: int
    waiting: int
    service_seconds: float

    def encode(self) -> bytes:
        """Return the report as a header value."""
        micros = int(self.service_seconds * 1e6)
        return b"%d %d %d %d" % (self.running, self.limit, self.waiting, micros)

    @classmethod
    def decode(cls, value: bytes) -> LoadReport | None:
        """Return the report, or None if the header value is not a valid one."""
        parts = value.split()
        if len(parts) != 4 or not all(part.isdigit() for part in parts):
            return None
        running, limit, waiting, micros = (int(part) for part in parts)
        return cls(running, limit, waiting, micros / 1e6)


class LoadView:
    """The latest load report, discounted by age, plus this node's own requests in flight.

    Parameters
    ----------
    slots : int
        Concurrent requests that the backend server announced.
    network_seconds : float
        Initial estimate of the network round-trip time.
    """

    def __init__(self, slots: int, network_seconds: float) -> None:
        self.in_flight = 0
        self.network_seconds = network_seconds
        self.closed_until = 0.0
        self._report = LoadReport(0, slots, 0, INITIAL_SERVICE_SECONDS)
        self._reported_at = -math.inf
        self._in_flight_at_report = 0

    @property
    def reported_load(self) -> float:
        """Return the load per slot at the last report, regardless of its age."""
        return (self._report.running + self._report.waiting) / max(1, self._report.limit)

    @property
    def waiting(self) -> int:
        """Return the queue length at the last report."""
        return self._report.waiting

    def sent(self) -> None:
        """Record that a request was sent there."""
        self.in_flight += 1

    def ended(self) -> None:
        """Record that a request sent there has ended."""
        self.in_flight -= 1

    def reported(self, report: LoadReport, now: float) -> None:
        """Record a load report."""
        self._report = report
        self._reported_at = now
        self._in_flight_at_report = self.in_flight

    def took(self, total: float, inside: float) -> None:
        """Update the network time from an answer's total seconds and its seconds at the node."""
        network = max(0.0, total - inside)
        self.network_seconds += NETWORK_SMOOTHING * (network - self.network_seconds)

    def close_until(self, until: float) -> None:
        """Avoid the backend server before ``until`` unless no other is left."""
        self.closed_until = max(self.closed_until, until)

    def score(self, now: float) -> float:
        """Return the expected time in seconds of a request sent now.

        The reported load of other nodes' requests decays towards half the limit with
        `REPORT_HALF_LIFE_SECONDS`, since it changes within milliseconds.
        """
        report = self._report
        limit = max(1, report.limit)
        weight = 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_SECONDS)
        reported = report.running + report.waiting
        estimated_load = weight * reported + (1.0 - weight) * limit * 0.5
        own_since_report = self.in_flight - self._in_flight_at_report * weight
        utilization = max(estimated_load + own_since_report, float(self.in_flight)) / limit
        return self.network_seconds + report.service_seconds * (1.0 + _queueing_factor(utilization))


def _queueing_factor(utilization: float) -> float:
    if utilization < 1.0:
        return utilization**4
    return 1.0 + 2.0 * (utilization - 1.0)
