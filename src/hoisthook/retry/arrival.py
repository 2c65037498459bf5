"""What a node knows of a request's earlier attempts when it forwards it to the next node."""

from __future__ import annotations

from enum import Enum


class Arrival(Enum):
    """Which kind of arrival at a backend server an attempt would be."""

    FIRST = "f"
    """No backend server has received the request before."""

    UNHEARD = "u"
    """It was sent to an unresponsive node and may still arrive there."""

    REDIRECTED = "a"
    """A backend server has rejected it, and it has not been executed."""

    RERUN = "r"
    """It has or may have been executed, and makes its calls again."""

    @property
    def is_repeat(self) -> bool:
        """Return whether it counts against the repeat budget."""
        return self is not Arrival.FIRST
