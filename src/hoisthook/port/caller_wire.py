"""How callers' requests and their answers look on the wire."""

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
    """What a caller's request head says.

    Attributes
    ----------
    request_id : RequestId
        The caller's; unique to this attempt of the caller.
    host : str
        Which host was asked for.
    path : str
        Without the query.
    time_left : float or None
        Seconds that the caller will wait; None if it does not say.
    headers : list of Header
        To hand on: end to end, without those that the system sets itself.
    credentials : list of Header
        Those that may hold a team's key; handed on only where teams are not told apart.
    key : bytes or None
        The one key that they hold; None if they hold none, or more than one.
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
    """The system's own answer to a caller.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : list of Header
        All but the framing.
    body : bytes
        For people.
    """

    status: int
    headers: list[Header]
    body: bytes


class CallerWire(Protocol):
    """Translates between callers and the product."""

    def decode(self, head: RequestHead) -> CallerRequest | ResultCode:
        """Return what the head says, or why it cannot be used."""

    def refusal(self, code: ResultCode, retry_after: float) -> CallerRefusal:
        """Return the answer that carries a result code.

        Parameters
        ----------
        code : ResultCode
            Why there is no backend server's answer.
        retry_after : float
            Seconds after which to come back; 0 to say nothing about it.
        """
