"""Snapshot of a node's state for its metrics."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.local_backend.repeat_limit import RepeatStatus


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """State and load of a node at one moment.

    Attributes
    ----------
    ready : bool
        Whether the node accepts requests of callers.
    backend_state : str
        Observed state of the local backend server.
    running, waiting, limit : int
        Requests that hold a slot, requests that wait for one, and the limit on running ones.
    slowdown : float
        Ratio of the current to the usual execution time at the backend server.
    configuration : int
        Version of the configuration in force; -1 for none.
    peers : int
        Number of other known nodes.
    store_away : bool
        Whether the platform's store does not answer.
    backend_connections : int
        Connections opened to the backend server since the start.
    evacuated : int
        Number of data centres that operators have evacuated.
    cold : bool
        Whether the backend server reports a cold start.
    refused_work : int
        Number of works refused because several backend servers crashed under them.
    repeats : RepeatStatus
        State of the repeat budget of the backend server.
    stalled_seconds : float
        Total time for which the event loop has stalled since the start.
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
