"""Detection of attempts that arrive twice."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import Incarnation

# Attempt numbers tracked per sender, up to the highest one.
WINDOW = 1024
MAX_SENDERS = 32_768
_MASK = (1 << WINDOW) - 1


class ReplayWindow:
    """Sliding window of the attempt numbers received from each sender incarnation.

    Senders number their attempts in increasing order. A number that is `WINDOW` or more
    below the highest one is rejected even if it is new, so that the state per sender is
    one integer; the sender of an attempt overtaken by that many others has long since
    given it up. A sender is evicted once `MAX_SENDERS` others have sent after it; a
    duplicate of an attempt from before the eviction is not detected.
    """

    def __init__(self) -> None:
        self._seen_by_sender: OrderedDict[Incarnation, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen_by_sender)

    def accept(self, sender: Incarnation, number: int) -> bool:
        """Record an attempt; return whether it arrived for the first time."""
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
