"""What decisions and changes of belief are written to."""

from __future__ import annotations

from typing import Protocol


class EventLog(Protocol):
    """A structured log."""

    def event(self, name: str, **fields: object) -> None:
        """Note something that changes what the process believes."""

    def decision(self, name: str, **fields: object) -> None:
        """Note a decision that touches one request."""
