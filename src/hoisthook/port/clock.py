"""Time and randomness, passed in so that tests can control them."""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """A monotonic clock."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""


class Randomness(Protocol):
    """Source of random numbers for decisions; `random.Random` implements it."""

    def random(self) -> float:
        """Return a number from 0 up to, not including, 1."""

    def randrange(self, stop: int, /) -> int:
        """Return an integer from 0 up to, not including, ``stop``."""

    def getrandbits(self, bits: int, /) -> int:
        """Return a non-negative integer of ``bits`` bits."""
