"""Possible outcomes of a request at a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.node.call import Lost
from hoisthook.node.call import Refused

if TYPE_CHECKING:
    import asyncio

    from hoisthook.adapter.http.message import Header


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A backend server's answer that arrived completely.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of Header
        End-to-end headers without the framing.
    body : bytes
        Complete body.
    """

    status: int
    headers: list[Header]
    body: bytes


Outcome = CompleteAnswer | Refused | Lost
"""A complete answer; certainly not executed; or sent without a known outcome."""


@dataclass(frozen=True, slots=True)
class PendingOutcome:
    """A request sent completely to a node that has not yet responded, and may execute it.

    Attributes
    ----------
    outcome_task : asyncio.Task of Outcome
        Returns the outcome once it is known, at the deadline of the request at the latest;
        cancelling the task withdraws the request.
    """

    outcome_task: asyncio.Task[Outcome]
