"""Protocol between callers and a node, independent of the platform."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.message import RequestHead
    from hoisthook.identity import RequestId
    from hoisthook.result_code import ResultCode


@dataclass(slots=True)
class CallerRequest:
    """Decoded head of a caller's request.

    Attributes
    ----------
    request_id : RequestId
        Set by the caller; unique to this attempt of the caller.
    host : str
        Requested host.
    path : str
        Path of the target, without the query.
    time_left : float or None
        Seconds that the caller will wait; None if it states no deadline.
    headers : list of Header
        Headers to forward: end-to-end ones, without those that the system sets itself.
    credentials : list of Header
        Headers that may hold a team's key; forwarded only if the configuration has no teams.
    key : bytes or None
        The key in the credentials; None if there is none, or more than one credential.
    """

    request_id: RequestId
    host: str
    path: str
    time_left: float | None
    headers: list[Header]
    credentials: list[Header] = field(default_factory=list)
    key: bytes | None = None


@dataclass(slots=True)
class CallerRefusal:
    """Answer that the system itself sends to a caller instead of a backend server's.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : list of Header
        All headers but those that frame the body.
    body : bytes
        Human-readable text.
    """

    status: int
    headers: list[Header]
    body: bytes


class CallerWire(Protocol):
    """Decodes callers' requests and encodes the system's own answers."""

    def decode(self, head: RequestHead) -> CallerRequest | ResultCode:
        """Decode a request head, or return the result code of its rejection."""

    def refusal(self, code: ResultCode, retry_after: float) -> CallerRefusal:
        """Return the system's own answer for a result code.

        Parameters
        ----------
        code : ResultCode
            Why no backend server's answer can be sent.
        retry_after : float
            Seconds after which the caller may retry; 0 to state none.
        """
