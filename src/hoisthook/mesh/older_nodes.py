"""Recognizes nodes of versions that do not state their identity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.mesh import hop_header
from hoisthook.mesh.node_load import NodeLoad
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header


class OlderMeshNodes:
    """Recognizes an older node by its refusal of a request without a hop header.

    It does not tell which node it is.
    """

    def question(self, identity: str) -> list[Header]:
        """Return no header: the refusal needs none."""
        return []

    def is_proof(self, answer: AnswerHead) -> bool:
        """Return whether a node has refused the request as malformed and added its load."""
        is_malformed = answer.get(hop_header.RESULT) == b"%d" % ResultCode.REQUEST_MALFORMED.number
        load = NodeLoad.decode(answer.get(hop_header.LOAD) or b"")
        return is_malformed and load is not None
