"""How often tries at a service have been admitted lately."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import ServiceName

# Within this an outcome loses all but a third of its weight.
MEMORY_SECONDS = 1.0
# Tries that are taken to have been admitted besides, so that little evidence ends nothing.
ASSUMED_TRIES = 1.0
# Below this a further try costs nodes and links more than it is likely to gain.
MIN_SHARE = 0.2


@dataclass(slots=True)
class _Seen:
    at: float
    tries: float = 0.0
    admitted: float = 0.0

    def fade(self, now: float) -> None:
        kept = math.exp(-(now - self.at) / MEMORY_SECONDS)
        self.tries *= kept
        self.admitted *= kept
        self.at = now


class AdmissionRate:
    """Tells whether a request that one node has refused is worth asking the next.

    Load pattern: all backend servers of a service turn half of their work away, so that far more
    requests come again than the budget of repeats has room for. Each of them asked up to ten
    nodes for room that none had: 1 of 100 such tries was admitted, while they took a third of
    what the links between data centres carried. What other requests have just met tells as much,
    and the room is used up all the same, as long as each asks once.
    """

    def __init__(self) -> None:
        self._seen_by_service: dict[ServiceName, _Seen] = {}

    def note(self, service: ServiceName, now: float, *, is_admitted: bool) -> None:
        """Take in what became of a try."""
        seen = self._seen_by_service.setdefault(service, _Seen(now))
        seen.fade(now)
        seen.tries += 1.0
        seen.admitted += is_admitted

    def is_worth_another(self, service: ServiceName, now: float) -> bool:
        """Return whether a service is expected to admit enough of the tries that are made."""
        seen = self._seen_by_service.get(service)
        if seen is None:
            return True
        seen.fade(now)
        return seen.admitted + ASSUMED_TRIES >= MIN_SHARE * (seen.tries + ASSUMED_TRIES)
