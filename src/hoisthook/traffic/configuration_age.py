"""Age of what this node knows of the operators' configuration."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class ConfigurationAge:
    """The time at which the newest configuration known here was still the newest.

    An answer of the store without changes and a peer's reply move it forward. Silence does not, so
    that a dead connection, a frozen reader and a partition all show as a growing age.
    """

    def __init__(self) -> None:
        self._as_of = -math.inf
        self._listeners: list[Callable[[], None]] = []

    @property
    def as_of(self) -> float:
        """Return the time of the latest confirmation on the node's clock; -inf before the first."""
        return self._as_of

    def on_confirmed(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called whenever the age has decreased."""
        self._listeners.append(listener)

    def confirmed(self, as_of: float) -> None:
        """Record that no newer configuration was published up to the time ``as_of``."""
        if as_of <= self._as_of:
            return
        self._as_of = as_of
        for listener in self._listeners:
            listener()

    def seconds(self, now: float) -> float | None:
        """Return the seconds since the latest confirmation; None before the first."""
        return now - self._as_of if self._as_of > -math.inf else None
