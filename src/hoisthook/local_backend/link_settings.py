"""How the backend server beside is used."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """How the backend server beside is used.

    Attributes
    ----------
    usable_share : float
        Share of its slots that is used; beyond it work there slows down.
    cold_factor, cold_extra : float
        How many times its rate, and how many requests besides, a cold backend server may get in
        any second; a factor of 0 stands for no bound.
    """

    usable_share: float
    cold_factor: float = 0.0
    cold_extra: float = 0.0

    def cold_bound(self, per_second: float | None) -> int | None:
        """Return how many requests a cold server may get in a second; None for any number."""
        if per_second is None or self.cold_factor <= 0:
            return None
        return int(per_second * self.cold_factor + self.cold_extra)
