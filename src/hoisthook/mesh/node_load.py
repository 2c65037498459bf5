"""What the node beside a backend server tells the others about its load."""

from __future__ import annotations

from dataclasses import dataclass

FIELDS = 7
PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """Load at one moment.

    Attributes
    ----------
    running : int
        Requests that hold a slot.
    waiting : int
        Requests that wait for one.
    limit : int
        How many may run.
    slowdown : float
        How many times its usual time work takes there.
    failing : float
        Share of recent answers that failed, 0 to 1.
    configuration : int
        Version in force at the node; -1 for none.
    over_repeat_budget : bool
        Whether calls of repeated runs have used up more than is left there for repeats.
    """

    running: int
    waiting: int
    limit: int
    slowdown: float
    failing: float
    configuration: int = -1
    over_repeat_budget: bool = False

    def encode(self) -> bytes:
        """Return the header's value; shares and factors in per cent."""
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
        """Return the load, or None if the value is none."""
        parts = value.split()
        if len(parts) != FIELDS or not all(part.isdigit() for part in parts):
            return None
        running, waiting, limit, slowdown, failing, version, owes = (int(part) for part in parts)
        return cls(
            running, waiting, limit, slowdown / PERCENT, failing / PERCENT, version - 1, owes > 0
        )
