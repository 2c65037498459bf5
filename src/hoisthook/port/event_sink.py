"""What changes of belief are written to, on every path of requests."""

from __future__ import annotations

from typing import Protocol


class EventSink(Protocol):
    """The part that all logs of a node have in common."""

    def event(self, name: str, **fields: object) -> None:
        """Note something that changes what the process believes."""
