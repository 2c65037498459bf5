"""What a node is like at one moment, for its metrics."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.local_backend.repeat_limit import RepeatStatus


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Beliefs and load.

    Attributes
    ----------
    ready : bool
        Whether callers may be sent here.
    backend_state : str
        State of the backend server beside.
    running, waiting, limit : int
        Requests that hold a slot, that wait for one, and how many may run.
    slowdown : float
        How many times its usual time work takes at the backend server.
    configuration : int
        Version in force; -1 for none.
    peers : int
        Other nodes that are known.
    store_away : bool
        Whether the platform's store does not answer.
    backend_connections : int
        Connections opened to the backend server since the start.
    evacuated : int
        Data centres that operators have evacuated.
    cold : bool
        Whether the backend server says that it is cold.
    refused_work : int
        Works refused because several backend servers ended under them.
    repeats : RepeatStatus
        The budget of repeats at the backend server.
    stalled_seconds : float
        For how long the event loop has stood still since the start.
    """

    ready: bool
    backend_state: str
    running: int
    waiting: int
    limit: int
    slowdown: float
    configuration: int
    peers: int
    store_away: bool
    backend_connections: int
    evacuated: int
    cold: bool
    refused_work: int
    repeats: RepeatStatus
    stalled_seconds: float
