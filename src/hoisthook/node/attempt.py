"""One try of a call, which can be given up on from outside."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Attempt:
    """A try under way.

    Parameters
    ----------
    number : int
        Unique within the node's incarnation, rising.
    may_wait : bool
        Whether the backend server's queue may be used.
    hedge : bool
        Whether another try of the same call is under way.
    """

    __slots__ = ("_on_abandon", "abandoned", "hedge", "may_wait", "number")

    def __init__(self, number: int, *, may_wait: bool, hedge: bool = False) -> None:
        self.number = number
        self.may_wait = may_wait
        self.hedge = hedge
        self.abandoned = False
        self._on_abandon: Callable[[], None] | None = None

    def on_abandon(self, callback: Callable[[], None] | None) -> None:
        """Set what giving up does now."""
        self._on_abandon = callback

    def abandon(self) -> None:
        """Give up: drop the connection or leave the queue, whichever it is at."""
        if self.abandoned:
            return
        self.abandoned = True
        if self._on_abandon is not None:
            self._on_abandon()
