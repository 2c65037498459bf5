"""The results of the attempts of one call so far."""

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

DIRECT_ATTEMPTS = 2
_CALL_SPECIFIC_CODES = frozenset({ResultCode.CALLER_OVER_SHARE, ResultCode.DEADLINE_PASSED})


@dataclass(slots=True)
class DispatchProgress:
    """Collects the failed attempts of a call and resolves the result for the caller.

    Attributes
    ----------
    tried : set of str
        Nodes that an attempt was sent to.
    lost : Lost or None
        An attempt whose outcome is unknown; the call cannot be reported as not run after it.
    slots_full : bool
        Whether an attempt was refused because all slots were in use.
    min_retry_after : float
        The shortest retry delay that a refusal gave, in seconds.
    """

    tried: set[str] = field(default_factory=set)
    lost: Lost | None = None
    slots_full: bool = False
    min_retry_after: float = float("inf")

    @property
    def should_wait(self) -> bool:
        """Return whether the next attempt may use a queue."""
        return self.slots_full and len(self.tried) >= DIRECT_ATTEMPTS

    def refused(self, refused: Refused) -> None:
        """Record a refusal."""
        self.min_retry_after = min(self.min_retry_after, refused.retry_after)
        self.slots_full = self.slots_full or refused.code is ResultCode.SLOTS_FULL

    def resolve(self, last: RunResult) -> RunResult:
        """Return the result for the caller after the last attempt."""
        if isinstance(last, Answer):
            return last
        if self.lost is not None or isinstance(last, Lost):
            return self.lost or last
        if self.min_retry_after == float("inf") or last.code is ResultCode.WORK_ENDS_SERVERS:
            return last
        if self.slots_full and last.code not in _CALL_SPECIFIC_CODES:
            return Refused(ResultCode.OVERLOADED, self.min_retry_after)
        return Refused(last.code, self.min_retry_after)
