"""Recognizes nodes of versions that do not state their identity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.identity import Incarnation
from hoisthook.node import wire
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header

# Given by an older node before it reads the rest of an attempt.
OLDER_NODE_REFUSALS = frozenset(
    {ResultCode.INCARNATION_MISMATCH, ResultCode.NODE_RESUMING, ResultCode.NODE_STOPPING}
)


class OlderKeyedNodes:
    """Asks by an attempt that names no service, which an older node refuses without running it.

    Such a node checks first that the attempt is addressed to its incarnation, so it refuses for the
    missing service only if it is the node that is looked for.

    Parameters
    ----------
    incarnation : Incarnation
        This node's.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self._incarnation = incarnation

    def question(self, identity: str) -> list[Header]:
        """Return the header of an attempt for one incarnation."""
        attempt = wire.AttemptHeader(
            sender=self._incarnation,
            number=0,
            target=Incarnation(identity),
            may_wait=False,
            repeatable=True,
            hedge=False,
        )
        return [(wire.ATTEMPT, attempt.encode())]

    def is_proof(self, answer: AnswerHead) -> bool:
        """Return whether the attempt was refused for the missing service alone."""
        result = answer.get(wire.RESULT) or b""
        return result.startswith(b"%d " % ResultCode.CONFIGURATION_MISSING.number)
