"""What the node beside a backend server tells the others about its load."""

from __future__ import annotations

from dataclasses import dataclass

FIELDS = 7
PERCENT = 100.0
MILLIS = 1000.0


@dataclass(frozen=True, slots=True)
class BesideLoad:
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
    wait : float
        Seconds after which a slot is likely to be free; 0 if one is.
    configuration : int
        Version in force at the node; -1 for none.
    """

    running: int
    waiting: int
    limit: int
    slowdown: float
    failing: float
    wait: float = 0.0
    configuration: int = -1

    def encode(self) -> bytes:
        """Return the header's value; shares and factors in per cent, times in milliseconds."""
        slowdown = round(self.slowdown * PERCENT)
        failing = round(self.failing * PERCENT)
        return b"%d %d %d %d %d %d %d" % (
            self.running,
            self.waiting,
            self.limit,
            slowdown,
            failing,
            round(self.wait * MILLIS),
            self.configuration + 1,
        )

    @classmethod
    def decode(cls, value: bytes) -> BesideLoad | None:
        """Return the load, or None if the value is none."""
        parts = value.split()
        if len(parts) != FIELDS or not all(part.isdigit() for part in parts):
            return None
        running, waiting, limit, slowdown, failing, wait, version = (int(part) for part in parts)
        return cls(
            running=running,
            waiting=waiting,
            limit=limit,
            slowdown=slowdown / PERCENT,
            failing=failing / PERCENT,
            wait=wait / MILLIS,
            configuration=version - 1,
        )
