"""Lease for which a node may accept teams' keys after its configuration was last confirmed."""

from __future__ import annotations

import math

# Subtracted from the lease: an admitted request starts to be executed within this time.
MARGIN_SECONDS = 0.4
# As shares of the lease: longest wait of a reader for a change of the store, and longest time for
# which a reader holds the poll of another node open. With these values a change reaches the nodes
# that poll the reader, and those that poll them, before their leases end.
WAIT_SHARE = 0.2
HOLD_SHARE = 0.08


class KeyLease:
    """Ends if neither the store nor a peer has confirmed the configuration for too long.

    Load pattern: a key is revoked while a node or the store is partitioned. The node cannot learn
    of it, so it stops accepting keys in time. The clock must advance while the instance is
    suspended.

    Parameters
    ----------
    seconds : float
        Time after the acknowledgement of a revocation by which all nodes reject the key; 0 if
        nodes continue to accept keys without confirmation.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._as_of = -math.inf

    @property
    def is_limited(self) -> bool:
        """Return whether acceptance of keys is limited by a lease."""
        return self._seconds > 0

    @property
    def longest_wait(self) -> float:
        """Return for how many seconds a reader may wait for a change in the store."""
        return WAIT_SHARE * self._seconds if self.is_limited else math.inf

    @property
    def longest_hold(self) -> float:
        """Return for how many seconds a reader may hold a peer's poll open."""
        return HOLD_SHARE * self._seconds if self.is_limited else math.inf

    def confirmed(self, as_of: float) -> None:
        """Record that this node's configuration was the newest at the time ``as_of``."""
        self._as_of = max(self._as_of, as_of)

    def age(self, now: float) -> float | None:
        """Return the seconds since the last confirmation; None without a limit or confirmation."""
        return now - self._as_of if self.is_limited and self._as_of > -math.inf else None

    def holds(self, now: float) -> bool:
        """Return whether keys may be accepted."""
        return not self.is_limited or now < self._as_of + self._seconds - MARGIN_SECONDS
