"""Names and encodings of the headers that hoisthook reads and writes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.identity import Incarnation

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header

OWN_PREFIX = b"hoisthook-"
SERVICE = b"hoisthook-service"
CALLER = b"hoisthook-caller"
TIMEOUT_MS = b"hoisthook-timeout-ms"
REQUEST_ID = b"hoisthook-request-id"
HEDGE = b"hoisthook-hedge"
RESULT = b"hoisthook-result"
RAN = b"hoisthook-ran"
RAN_BY = b"hoisthook-ran-by"
ATTEMPTS = b"hoisthook-attempts"
RETRY_AFTER_MS = b"hoisthook-retry-after-ms"
ISSUED_KEY = b"hoisthook-issued-key"
REPLAYED = b"hoisthook-replayed"
SHED = b"hoisthook-shed"
KEY = b"idempotency-key"
RETRY_AFTER = b"retry-after"

ATTEMPT = b"hoisthook-attempt"
HOLDER = b"hoisthook-holder"
LOAD = b"hoisthook-load"
INSIDE_MICROS = b"hoisthook-inside-us"

CONTROL_PREFIX = b"/hoisthook/"


@dataclass(frozen=True, slots=True)
class AttemptHeader:
    """The header by which an ingress node describes an attempt to the target node.

    Attributes
    ----------
    sender : Incarnation
        The ingress node's incarnation.
    number : int
        The attempt's number, unique within ``sender``.
    target : Incarnation
        The incarnation that the attempt is addressed to; any other refuses it.
    may_wait : bool
        Whether the backend server's queue may be used.
    repeatable : bool
        Whether the request may run more than once.
    hedge : bool
        Whether another attempt of the same call is in progress.
    """

    sender: Incarnation
    number: int
    target: Incarnation
    may_wait: bool
    repeatable: bool
    hedge: bool

    def encode(self) -> bytes:
        """Return the header's value."""
        flags = self.may_wait + 2 * self.repeatable + 4 * self.hedge
        return f"{self.sender} {self.number} {self.target} {flags}".encode()

    @classmethod
    def decode(cls, value: bytes) -> AttemptHeader | None:
        """Return the header, or None if the value is malformed."""
        parts = value.decode("latin-1").split()
        if len(parts) != 4 or not (parts[1].isdecimal() and parts[3].isdecimal()):
            return None
        if len(value) > 200:
            return None
        flags = int(parts[3])
        return cls(
            sender=Incarnation(parts[0]),
            number=int(parts[1]),
            target=Incarnation(parts[2]),
            may_wait=bool(flags & 1),
            repeatable=bool(flags & 2),
            hedge=bool(flags & 4),
        )


def without_own(headers: list[Header]) -> list[Header]:
    """Return the headers without those of hoisthook."""
    return [header for header in headers if not header[0].startswith(OWN_PREFIX)]


def parse_timeout_ms(value: bytes) -> float | None:
    """Return the timeout in seconds, or None if the value is not a positive, finite number."""
    try:
        millis = float(value)
    except ValueError:
        return None
    if not 0.0 < millis < float("inf"):
        return None
    return millis / 1000.0
