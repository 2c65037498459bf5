"""Recognises an attempt that arrives twice."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import Incarnation

WINDOW = 1024
MAX_SENDERS = 32_768
_MASK = (1 << WINDOW) - 1


class ReplayWindow:
    """Remembers which numbered attempts each sender incarnation has made.

    Attempts are numbered upwards by their sender. Numbers below the highest seen
    by `WINDOW` or more are refused unseen, so memory is one integer a sender;
    an attempt that is overtaken by that many others was given up on long since.
    A sender is forgotten once `MAX_SENDERS` others have sent after it; a copy of
    its attempt that is older than that would not be recognised.
    """

    def __init__(self) -> None:
        self._seen_by_sender: OrderedDict[Incarnation, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen_by_sender)

    def accept(self, sender: Incarnation, number: int) -> bool:
        """Return whether the attempt is seen for the first time, and note it."""
        highest, bits = self._seen_by_sender.get(sender, (-1, 0))
        if number > highest:
            shift = number - highest
            bits = (bits << shift | 1) & _MASK if shift < WINDOW else 1
            self._store(sender, number, bits)
            return True
        behind = highest - number
        if behind >= WINDOW or bits >> behind & 1:
            return False
        self._store(sender, highest, bits | 1 << behind)
        return True

    def _store(self, sender: Incarnation, highest: int, bits: int) -> None:
        self._seen_by_sender[sender] = (highest, bits)
        self._seen_by_sender.move_to_end(sender)
        if len(self._seen_by_sender) > MAX_SENDERS:
            self._seen_by_sender.popitem(last=False)
