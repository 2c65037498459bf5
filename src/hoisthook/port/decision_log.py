"""Protocol of the log of routing and placement decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from hoisthook.node.call import Call
    from hoisthook.node.dispatcher import Dispatched
    from hoisthook.result_code import ResultCode


class DecisionLog(Protocol):
    """Log with one line for each routing or placement decision."""

    def routed(self, call: Call, done: Dispatched, code: ResultCode, cost: float) -> None:
        """Log the outcome of a call; ``cost`` is the processing time in this node, in seconds."""

    def refused(self, call: Call, backend_server: str, code: ResultCode) -> None:
        """Log that the local backend server did not admit a call."""

    def event(self, name: str, **fields: object) -> None:
        """Log any other event of interest to operators."""
