"""An answer on its way back to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.body_stream import BodyStream
    from hoisthook.adapter.http.message import AnswerHead


class Answer:
    """A backend server's answer: its head, its body as it comes, and its end.

    Parameters
    ----------
    head : AnswerHead
        Status and headers.
    body : BodyStream
        Ends whole or broken.
    ran_by : str
        Id of the backend server.
    finish : callable
        Called once, with whether the answer was read to its end.
    """

    __slots__ = ("_finish", "body", "head", "ran_by")

    def __init__(
        self, head: AnswerHead, body: BodyStream, ran_by: str, finish: Callable[[bool], None]
    ) -> None:
        self.head = head
        self.body = body
        self.ran_by = ran_by
        self._finish: Callable[[bool], None] | None = finish

    def finish(self, *, whole: bool) -> None:
        """Give back what the answer holds; not whole drops its connection."""
        if self._finish is not None:
            finish = self._finish
            self._finish = None
            finish(whole)
