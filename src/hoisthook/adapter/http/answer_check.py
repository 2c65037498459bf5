"""Rejects heads of answers that the parser accepts and HTTP does not allow."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING

from hoisthook.exceptions import MalformedAnswerError

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header

FIRST_STATUS = 100
LAST_STATUS = 599
VERSIONS = frozenset({"1.0", "1.1"})
# Tab, space, visible characters and bytes over 127 (RFC 9112, section 4).
_USUAL_REASONS = frozenset(status.phrase.encode() for status in HTTPStatus)
_REASON = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")


def check_answer_head(status: int, version: str, reason: bytes, headers: list[Header]) -> None:
    """Check the head of an answer.

    Parameters
    ----------
    status : int
        Status code.
    version : str
        Version of the protocol, such as ``1.1``.
    reason : bytes
        Reason phrase.
    headers : list of Header
        All headers.

    Raises
    ------
    MalformedAnswerError
        If the status is none, the version is not HTTP/1, the reason phrase has control characters,
        or the body has another transfer coding than chunked or has it more than once.
    """
    if not FIRST_STATUS <= status <= LAST_STATUS:
        raise MalformedAnswerError(f"status {status}")
    if version not in VERSIONS:
        raise MalformedAnswerError(f"version {version}")
    if reason not in _USUAL_REASONS and _REASON.fullmatch(reason) is None:
        raise MalformedAnswerError("control character in the reason phrase")
    is_chunked = False
    for name, value in headers:
        if name == b"transfer-encoding":
            if is_chunked or value.strip().lower() != b"chunked":
                raise MalformedAnswerError("transfer coding other than chunked once")
            is_chunked = True
