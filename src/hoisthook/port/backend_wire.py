"""Protocol between a node and its backend server, independent of the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header
    from hoisthook.identity import InstanceId
    from hoisthook.identity import RequestId
    from hoisthook.identity import ServiceName
    from hoisthook.identity import TeamName


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Load that a backend server reports.

    Attributes
    ----------
    running : int
        Requests that hold a slot.
    waiting : int
        Requests in the backend server's own queue.
    slots : int
        Requests that it can run concurrently.
    slowdown : float
        Current service time as a multiple of the usual one; 1 is normal speed.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a backend server says about itself in an answer, besides its load.

    Attributes
    ----------
    requests_per_second : float or None
        Limit that it names: the requests that it takes from all nodes together; None for none.
    unreadable_limit : bytes or None
        Value of a limit that is not a decimal number; None if there is no such value.
    is_leaving : bool
        Whether it is leaving and takes no new requests.
    """

    requests_per_second: float | None = None
    unreadable_limit: bytes | None = None
    is_leaving: bool = False


class AnswerKind(Enum):
    """What an answer shows about the execution of its request.

    ``OWN`` is the backend server's own answer, ``NOT_RUN`` states that the request was not
    executed, ``OTHER_INSTANCE`` that another incarnation was expected, and ``SPOILED`` is an
    answer that must not be forwarded, such as an unsigned success.
    """

    OWN = "own"
    NOT_RUN = "not-run"
    OTHER_INSTANCE = "other-instance"
    SPOILED = "spoiled"


@dataclass(frozen=True, slots=True)
class DecodedAnswerHead:
    """Decoded head of an answer.

    Attributes
    ----------
    kind : AnswerKind
        What the answer shows about the execution.
    load : BackendLoad or None
        The reported load; None if it is absent or malformed.
    instance : InstanceId or None
        Incarnation of the backend server that answered; None if it is not stated.
    headers : list of Header
        End-to-end headers to forward to the caller.
    cold_seconds : float
        Remaining cold start that the backend server reports, in seconds; 0 if it reports none.
    notice : ServerNotice
        Limit and state that the backend server reports.
    """

    kind: AnswerKind
    load: BackendLoad | None
    instance: InstanceId | None
    headers: list[Header]
    cold_seconds: float = 0.0
    notice: ServerNotice = ServerNotice()


@dataclass(frozen=True, slots=True)
class BackendRequestHead:
    """Values that the node adds to a request for its backend server.

    Attributes
    ----------
    instance : InstanceId or None
        The only incarnation that may execute the request; None if none is known.
    caller_service : ServiceName
        Service of the ingress node of the request.
    time_left : float
        Seconds until the deadline of the request.
    team : TeamName or None
        Team that the request belongs to; None without teams in the configuration, or if it is
        unknown.
    """

    instance: InstanceId | None
    caller_service: ServiceName
    time_left: float
    team: TeamName | None = None


class BackendWire(Protocol):
    """Encodes requests for a backend server and decodes its answers."""

    def added_headers(self, head: BackendRequestHead) -> list[Header]:
        """Return the headers that the node adds."""

    def answers(self, head: AnswerHead, request_id: RequestId) -> bool:
        """Return whether an answer belongs to the request with this id."""

    def answers_health(self, head: AnswerHead) -> bool:
        """Return whether an answer can be that of a health check, not a late one to a request."""

    def read(self, head: AnswerHead) -> DecodedAnswerHead:
        """Decode the head of an answer."""

    def read_notice(self, headers: list[Header]) -> ServerNotice:
        """Decode the notice in the end-to-end headers of an answer."""
