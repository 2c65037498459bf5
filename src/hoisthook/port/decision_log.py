"""Where decisions are written down."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from hoisthook.node.call import Call
    from hoisthook.node.dispatcher import Dispatched
    from hoisthook.result_code import ResultCode


class DecisionLog(Protocol):
    """One line for each routing or placement decision."""

    def routed(self, call: Call, done: Dispatched, code: ResultCode, cost: float) -> None:
        """Note what became of a call; ``cost`` is its seconds in this node."""

    def refused(self, call: Call, backend_server: str, code: ResultCode) -> None:
        """Note that a call was not admitted beside."""

    def event(self, name: str, **fields: object) -> None:
        """Note anything else that an operator may look for."""
