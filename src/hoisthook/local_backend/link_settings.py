"""Settings for the use of the local backend server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Limits on the use of the local backend server.

    Attributes
    ----------
    usable_share : float
        Share of the announced slots that is used; above it requests slow each other down.
    cold_factor, cold_extra : float
        Multiple of the operators' rate for a cold backend server, and a fixed number of requests
        added to it, that may be sent in any second; a factor of 0 means no limit.
    reuse_after_seconds : float
        Time after the exit of the backend server within which its address is not assigned to a
        server of another service; 0 if not known.
    """

    usable_share: float
    cold_factor: float = 0.0
    cold_extra: float = 0.0
    reuse_after_seconds: float = 0.0

    def cold_bound(self, per_second: float | None) -> int | None:
        """Return the number of requests per second for a cold server; None for no limit."""
        if per_second is None or self.cold_factor <= 0:
            return None
        return int(per_second * self.cold_factor + self.cold_extra)
