"""What can become of a request at a backend server."""

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
    """A backend server's answer that arrived whole.

    Attributes
    ----------
    status : int
        Its own.
    headers : list of Header
        End to end, without the framing.
    body : bytes
        All of it.
    """

    status: int
    headers: list[Header]
    body: bytes


Outcome = CompleteAnswer | Refused | Lost
"""Answered; truly not run; or sent, with nothing known of what became of it."""


@dataclass(frozen=True, slots=True)
class PendingOutcome:
    """Sent whole to a node that has not said yet whether it runs it.

    Attributes
    ----------
    outcome_task : asyncio.Task of Outcome
        Ends with what is heard, or with the deadline; cancelling it withdraws the request.
    """

    outcome_task: asyncio.Task[Outcome]
