"""What the tries of one call have shown so far."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from hoisthook.node.answer import Answer
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.node.local_backend import RunResult

DIRECT_TRIES = 2
_OWN_WORD = frozenset({ResultCode.CALLER_OVER_SHARE, ResultCode.DEADLINE_PASSED})


@dataclass(slots=True)
class DispatchProgress:
    """Collects refusals and losses, and draws the conclusion for the caller.

    Attributes
    ----------
    tried : set of str
        Nodes that a try was sent to.
    lost : Lost or None
        A try whose outcome is unknown; from then on "not run" cannot be said.
    full : bool
        Whether a refusal was for want of slots.
    soonest : float
        The shortest time after which a refusal said to come back, in seconds.
    """

    tried: set[str] = field(default_factory=set)
    lost: Lost | None = None
    full: bool = False
    soonest: float = float("inf")

    @property
    def should_wait(self) -> bool:
        """Return whether the next try may use a queue."""
        return self.full and len(self.tried) >= DIRECT_TRIES

    def refused(self, refused: Refused) -> None:
        """Take in a refusal."""
        self.soonest = min(self.soonest, refused.retry_after)
        self.full = self.full or refused.code is ResultCode.SLOTS_FULL

    def conclude(self, last: RunResult) -> RunResult:
        """Return what is known after the last try."""
        if isinstance(last, Answer):
            return last
        if self.lost is not None or isinstance(last, Lost):
            return self.lost or last
        if self.soonest == float("inf") or last.code is ResultCode.WORK_ENDS_SERVERS:
            return last
        if self.full and last.code not in _OWN_WORD:
            return Refused(ResultCode.OVERLOADED, self.soonest)
        return Refused(last.code, self.soonest)
