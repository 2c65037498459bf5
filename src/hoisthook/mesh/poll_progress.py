"""How far a poll of another node has proceeded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import AnswerHead


class PollProgress:
    """How far a poll has proceeded.

    Attributes
    ----------
    connected : asyncio.Event
        Set once the peer has accepted the connection.
    answering : asyncio.Event
        Set once the peer's answer has begun to arrive.
    """

    def __init__(self) -> None:
        self.connected = asyncio.Event()
        self.answering = asyncio.Event()

    def answer_begins(self, head: AnswerHead) -> bool:
        """Record the head of the answer; any answer belongs to the poll."""
        self.answering.set()
        return True
