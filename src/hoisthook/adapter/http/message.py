"""Heads of HTTP messages: representation and encoding."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

Header = tuple[bytes, bytes]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"http2-settings",
        b"expect",
    }
)
FRAMING = frozenset({b"content-length", b"transfer-encoding"})
BODYLESS_STATUSES = frozenset({204, 304})
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class RequestHead:
    """Method, target and headers of a request; header names are lower case."""

    method: bytes
    target: bytes
    headers: list[Header]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of ``name``, or None."""
        return first_value(self.headers, name)


@dataclass(slots=True)
class AnswerHead:
    """Status and headers of an answer; header names are lower case."""

    status: int
    headers: list[Header]

    @property
    def is_framed(self) -> bool:
        """Return whether the end of the answer is known without the connection being closed."""
        if self.status in BODYLESS_STATUSES:
            return True
        return any(name in FRAMING for name, _ in self.headers)

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of ``name``, or None."""
        return first_value(self.headers, name)


def first_value(headers: list[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: list[Header]) -> list[Header]:
    """Return the headers without the hop-by-hop ones."""
    dropped = HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            listed = {token.strip().lower() for token in value.split(b",")}
            dropped = dropped | listed
    return [header for header in headers if header[0] not in dropped]


def encode_request_head(method: bytes, target: bytes, headers: list[Header]) -> bytes:
    """Return the bytes of a request head."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in headers)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_answer_head(status: int, headers: list[Header]) -> bytes:
    """Return the bytes of an answer head."""
    reason = _REASONS.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines.extend(name + b": " + value for name, value in headers)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def chunk_parts(data: bytes) -> tuple[bytes, ...]:
    """Return ``data`` as one chunk of a chunked body, in parts; none without data."""
    return (b"%x\r\n" % len(data), data, b"\r\n") if data else ()


def encode_chunk(data: bytes) -> bytes:
    """Return ``data`` as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROCESSING_STATUS = 102
