"""Recent share of the attempts at each service that were admitted."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import ServiceName

# Time constant of the exponential decay of an outcome's weight.
TIME_CONSTANT_SECONDS = 1.0
# Admitted attempts that are added to the counts, so that a few rejections do not stop attempts.
PRIOR_ADMITTED = 1.0
# Below this share another attempt costs nodes and links more than it is likely to gain.
MIN_SHARE = 0.2


@dataclass(slots=True)
class _OutcomeCounts:
    at: float
    attempts: float = 0.0
    admitted: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-(now - self.at) / TIME_CONSTANT_SECONDS)
        self.attempts *= factor
        self.admitted *= factor
        self.at = now


class AdmissionRate:
    """Decides whether a request that one node has rejected should be sent to another one.

    Load pattern: all backend servers of a service reject half of their requests, so that far more
    repeats are due than the repeat budget allows. When each of them tried up to ten nodes, 1 of
    100 such attempts was admitted, while they took a third of the traffic between data centres.
    The recent outcomes of other requests predict the rejections. Free capacity is still used up
    as long as each request makes one attempt.
    """

    def __init__(self) -> None:
        self._counts_by_service: dict[ServiceName, _OutcomeCounts] = {}

    def note(self, service: ServiceName, now: float, *, is_admitted: bool) -> None:
        """Record the outcome of an attempt."""
        counts = self._counts_by_service.setdefault(service, _OutcomeCounts(now))
        counts.decay(now)
        counts.attempts += 1.0
        counts.admitted += is_admitted

    def is_worth_another(self, service: ServiceName, now: float) -> bool:
        """Return whether a service is likely enough to admit another attempt."""
        counts = self._counts_by_service.get(service)
        if counts is None:
            return True
        counts.decay(now)
        return counts.admitted + PRIOR_ADMITTED >= MIN_SHARE * (counts.attempts + PRIOR_ADMITTED)
