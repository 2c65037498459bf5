"""What a node knows of a request's earlier tries when it hands it to the next node."""

from __future__ import annotations

from enum import Enum


class Arrival(Enum):
    """Which arrival at a backend server a try would be."""

    FIRST = "f"
    """No backend server has got the request before."""

    UNHEARD = "u"
    """It was sent to a node that was silent, and may arrive there yet."""

    REDIRECTED = "a"
    """A backend server has rejected it, and it has not run."""

    RERUN = "r"
    """It has run or may have run, and makes its calls again."""

    @property
    def is_repeat(self) -> bool:
        """Return whether it counts against the budget of repeats."""
        return self is not Arrival.FIRST
