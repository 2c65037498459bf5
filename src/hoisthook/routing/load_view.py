"""What an entry believes of one backend server's load."""

from __future__ import annotations

import math
from dataclasses import dataclass

REPORT_HALF_LIFE_SECONDS = 0.010
LATENCY_SMOOTHING = 0.1
NETWORK_SMOOTHING = 0.1
START_SERVICE_SECONDS = 0.005


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the node beside a backend server says with each answer.

    Attributes
    ----------
    running : int
        Requests holding a slot.
    limit : int
        How many may.
    waiting : int
        Requests in its queue.
    service_seconds : float
        What a request usually takes there.
    """

    running: int
    limit: int
    waiting: int
    service_seconds: float

    def encode(self) -> bytes:
        """Return the report as a header's value."""
        micros = int(self.service_seconds * 1e6)
        return b"%d %d %d %d" % (self.running, self.limit, self.waiting, micros)

    @classmethod
    def decode(cls, value: bytes) -> LoadReport | None:
        """Return the report, or None if the value is none."""
        parts = value.split()
        if len(parts) != 4 or not all(part.isdigit() for part in parts):
            return None
        running, limit, waiting, micros = (int(part) for part in parts)
        return cls(running, limit, waiting, micros / 1e6)


class LoadView:
    """A stale report, aged by milliseconds, and what this entry itself has there.

    Parameters
    ----------
    slots : int
        What the backend server announced.
    network_seconds : float
        First guess of the way there and back.
    """

    def __init__(self, slots: int, network_seconds: float) -> None:
        self.in_flight = 0
        self.network_seconds = network_seconds
        self.closed_until = 0.0
        self._report = LoadReport(0, slots, 0, START_SERVICE_SECONDS)
        self._reported_at = -math.inf
        self._in_flight_at_report = 0

    @property
    def reported_load(self) -> float:
        """Return the share of slots taken at the last report, however old."""
        return (self._report.running + self._report.waiting) / max(1, self._report.limit)

    @property
    def waiting(self) -> int:
        """Return how many requests waited there at the last report."""
        return self._report.waiting

    def sent(self) -> None:
        """Note that a request was sent there."""
        self.in_flight += 1

    def ended(self) -> None:
        """Note that a request sent there is over."""
        self.in_flight -= 1

    def reported(self, report: LoadReport, now: float) -> None:
        """Take in a report."""
        self._report = report
        self._reported_at = now
        self._in_flight_at_report = self.in_flight

    def took(self, total: float, inside: float) -> None:
        """Learn the network's part from an answer's total and inside seconds."""
        network = max(0.0, total - inside)
        self.network_seconds += NETWORK_SMOOTHING * (network - self.network_seconds)

    def close_until(self, moment: float) -> None:
        """Send nothing there before ``moment`` unless nothing else is left."""
        self.closed_until = max(self.closed_until, moment)

    def score(self, now: float) -> float:
        """Return the seconds that a request sent now is expected to take.

        What the report says of others' requests fades with `REPORT_HALF_LIFE_SECONDS`
        towards half the limit: soon nothing is known of them.
        """
        report = self._report
        limit = max(1, report.limit)
        weight = 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_SECONDS)
        reported = report.running + report.waiting
        guess = weight * reported + (1.0 - weight) * limit * 0.5
        own = self.in_flight - self._in_flight_at_report * weight
        used = max(guess + own, float(self.in_flight)) / limit
        return self.network_seconds + report.service_seconds * (1.0 + _crowding(used))


def _crowding(used: float) -> float:
    if used < 1.0:
        return used**4
    return 1.0 + 2.0 * (used - 1.0)
