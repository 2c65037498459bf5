"""Protocol of the structured log of events and decisions."""

from __future__ import annotations

from typing import Protocol


class EventLog(Protocol):
    """A structured log."""

    def event(self, name: str, **fields: object) -> None:
        """Log a change of the state that the process observes or assumes."""

    def decision(self, name: str, **fields: object) -> None:
        """Log a decision about a single request."""
