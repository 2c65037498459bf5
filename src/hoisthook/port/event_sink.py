"""Protocol for logging events, common to all request paths."""

from __future__ import annotations

from typing import Protocol


class EventSink(Protocol):
    """The method that all logs of a node have in common."""

    def event(self, name: str, **fields: object) -> None:
        """Log a change of the state that the process observes or assumes."""
