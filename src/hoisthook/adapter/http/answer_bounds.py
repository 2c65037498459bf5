"""Bounds on what a connection reads for one answer besides its body."""

from __future__ import annotations

from hoisthook.exceptions import AnswerTooLargeError

# Bytes from the first of an exchange to the end of the final head, with all interim answers and
# the heads of answers to other requests before it.
MAX_HEAD_BYTES = 64 * 1024
# Interim answers before the final one; a node sends two.
MAX_INTERIM_ANSWERS = 8
# Answers to other requests that are skipped before the right one.
MAX_SKIPPED_ANSWERS = 8
# Bytes of their bodies together; services send answers of half a megabyte.
MAX_SKIPPED_BODY_BYTES = 2 * 1024 * 1024
# Bytes of chunk sizes, chunk extensions and trailers: a fixed number and, for bodies that come in
# small chunks, a multiple of the bytes of the body, which has a limit of its own.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 8
MAX_CHUNKING_BYTES = 1024 * 1024


class AnswerMeter:
    """Counts what is received for one exchange, and raises an error when a bound is exceeded."""

    __slots__ = (
        "_body_bytes",
        "_head_bytes",
        "_interim",
        "_received",
        "_skipped",
        "_skipped_bytes",
    )

    def __init__(self) -> None:
        self._received = 0
        self._head_bytes: int | None = None
        self._body_bytes = 0
        self._interim = 0
        self._skipped = 0
        self._skipped_bytes = 0

    def received(self, count: int) -> None:
        """Count bytes that the parser is about to read."""
        self._received += count

    def head_completed(self) -> None:
        """Record the end of the final head; the bytes of the current piece count as its own."""
        self._head_bytes = self._received

    def body_received(self, count: int) -> None:
        """Count bytes of the body."""
        self._body_bytes += count

    def interim_received(self) -> None:
        """Count an interim answer.

        Raises
        ------
        AnswerTooLargeError
            If there have been more than `MAX_INTERIM_ANSWERS`.
        """
        self._interim += 1
        if self._interim > MAX_INTERIM_ANSWERS:
            raise AnswerTooLargeError("interim answers", MAX_INTERIM_ANSWERS)

    def answer_skipped(self) -> None:
        """Count an answer to another request.

        Raises
        ------
        AnswerTooLargeError
            If there have been more than `MAX_SKIPPED_ANSWERS`.
        """
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_ANSWERS:
            raise AnswerTooLargeError("answers to other requests", MAX_SKIPPED_ANSWERS)

    def skipped_body_received(self, count: int) -> None:
        """Count bytes of the body of an answer to another request."""
        self._skipped_bytes += count

    def check(self) -> None:
        """Check the bytes after the parser has read a piece.

        Raises
        ------
        AnswerTooLargeError
            If the head, or what frames the body, exceeds its bound.
        """
        if self._head_bytes is None:
            if self._skipped_bytes > MAX_SKIPPED_BODY_BYTES:
                raise AnswerTooLargeError("bytes for other requests", MAX_SKIPPED_BODY_BYTES)
            if self._received - self._skipped_bytes > MAX_HEAD_BYTES:
                raise AnswerTooLargeError("bytes of the head", MAX_HEAD_BYTES)
            return
        framing = self._received - self._head_bytes - self._body_bytes
        chunking = min(MAX_CHUNKING_BYTES, MAX_FRAMING_PER_BODY_BYTE * self._body_bytes)
        if framing > MAX_FRAMING_BYTES + chunking:
            raise AnswerTooLargeError("bytes between pieces of the body", MAX_FRAMING_BYTES)
