"""The load of a backend server as its node reports it to other nodes."""

from __future__ import annotations

from dataclasses import dataclass

FIELDS = 7
PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """Load of a backend server at one point in time.

    Attributes
    ----------
    running : int
        Number of requests that hold a slot.
    waiting : int
        Number of requests in the queue for a slot.
    limit : int
        Number of requests that may run at once.
    slowdown : float
        Ratio of the present service time to the usual one.
    failing : float
        Share of recent answers that failed, 0 to 1.
    configuration : int
        Configuration version in force at the node; -1 for none.
    over_repeat_budget : bool
        Whether calls made by repeats have used up more than the repeat budget of the node.
    """

    running: int
    waiting: int
    limit: int
    slowdown: float
    failing: float
    configuration: int = -1
    over_repeat_budget: bool = False

    def encode(self) -> bytes:
        """Return the load as a header value, with shares and ratios in per cent."""
        slowdown = round(self.slowdown * PERCENT)
        failing = round(self.failing * PERCENT)
        return b"%d %d %d %d %d %d %d" % (
            self.running,
            self.waiting,
            self.limit,
            slowdown,
            failing,
            self.configuration + 1,
            self.over_repeat_budget,
        )

    @classmethod
    def decode(cls, value: bytes) -> NodeLoad | None:
        """Return the load from a header value, or None if the value is malformed."""
        parts = value.split()
        if len(parts) != FIELDS or not all(part.isdigit() for part in parts):
            return None
        running, waiting, limit, slowdown, failing, version, over_budget = (
            int(part) for part in parts
        )
        return cls(
            running,
            waiting,
            limit,
            slowdown / PERCENT,
            failing / PERCENT,
            version - 1,
            over_budget > 0,
        )
