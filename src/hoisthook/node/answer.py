"""An answer of a backend server while it is streamed back to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.adapter.http.body_stream import BodyStream
    from hoisthook.adapter.http.message import AnswerHead


class Answer:
    """A backend server's answer: its head, and its body as a stream.

    Parameters
    ----------
    head : AnswerHead
        Status and headers.
    body : BodyStream
        Ends complete or broken.
    ran_by : str
        Id of the backend server.
    finish : callable
        Called once, with whether the body was read completely.
    """

    __slots__ = ("_finish", "body", "head", "ran_by")

    def __init__(
        self, head: AnswerHead, body: BodyStream, ran_by: str, finish: Callable[[bool], None]
    ) -> None:
        self.head = head
        self.body = body
        self.ran_by = ran_by
        self._finish: Callable[[bool], None] | None = finish

    def finish(self, *, fully_read: bool) -> None:
        """Release the connection and slot; the connection is dropped unless fully read."""
        if self._finish is not None:
            finish = self._finish
            self._finish = None
            finish(fully_read)
