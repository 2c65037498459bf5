"""How a backend server is spoken to."""

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
    """What a backend server says about its load.

    Attributes
    ----------
    running : int
        Requests that hold a slot.
    waiting : int
        Requests in its own queue.
    slots : int
        What it can run at once.
    slowdown : float
        How many times its usual time work takes there at this moment.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class AnswerKind(Enum):
    """What an answer says about the request."""

    OWN = "own"
    NOT_RUN = "not-run"
    OTHER_INSTANCE = "other-instance"
    SPOILED = "spoiled"


@dataclass(frozen=True, slots=True)
class AnswerReading:
    """An answer's head, read.

    Attributes
    ----------
    kind : AnswerKind
        What it says.
    load : BackendLoad or None
        The load it reports.
    instance : InstanceId or None
        Which incarnation of the backend server answered, if it says so.
    headers : list of Header
        To hand on to the caller, end to end.
    cold_seconds : float
        For how long the backend server says that it is cold; 0 if it says nothing.
    """

    kind: AnswerKind
    load: BackendLoad | None
    instance: InstanceId | None
    headers: list[Header]
    cold_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class BackendRequestHead:
    """What the node adds to a request for its backend server.

    Attributes
    ----------
    instance : InstanceId or None
        The only incarnation that may run it; None if none is known.
    caller_service : ServiceName
        The service beside which the request began.
    time_left : float
        Seconds after which its answer is of no use.
    team : TeamName or None
        Who asks; None where teams are not told apart or none is known.
    """

    instance: InstanceId | None
    caller_service: ServiceName
    time_left: float
    team: TeamName | None = None


class BackendWire(Protocol):
    """Translates between the product and a backend server."""

    def added_headers(self, head: BackendRequestHead) -> list[Header]:
        """Return the headers that the node adds."""

    def answers(self, head: AnswerHead, request_id: RequestId) -> bool:
        """Return whether an answer belongs to that request and to no other."""

    def answers_health(self, head: AnswerHead) -> bool:
        """Return whether an answer can be that to a health check, and not a late one."""

    def read(self, head: AnswerHead) -> AnswerReading:
        """Return what an answer's head says."""
