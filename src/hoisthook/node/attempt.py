"""One attempt of a call, which can be abandoned from outside."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Attempt:
    """An attempt in progress.

    Parameters
    ----------
    number : int
        Unique within the node's incarnation, increasing.
    may_wait : bool
        Whether the backend server's queue may be used.
    hedge : bool
        Whether it was started while another attempt of the same call was in progress.
    """

    __slots__ = ("_on_abandon", "abandoned", "hedge", "may_wait", "number")

    def __init__(self, number: int, *, may_wait: bool, hedge: bool = False) -> None:
        self.number = number
        self.may_wait = may_wait
        self.hedge = hedge
        self.abandoned = False
        self._on_abandon: Callable[[], None] | None = None

    def on_abandon(self, callback: Callable[[], None] | None) -> None:
        """Set the callback that `abandon` calls, or None for none."""
        self._on_abandon = callback

    def abandon(self) -> None:
        """Abandon the attempt: drop its connection or leave the queue it waits in."""
        if self.abandoned:
            return
        self.abandoned = True
        if self._on_abandon is not None:
            self._on_abandon()
