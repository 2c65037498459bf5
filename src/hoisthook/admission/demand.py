"""Priority, deadlines and expected service time of a request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """Properties of a request that admission depends on; times in seconds on the node's clock.

    Attributes
    ----------
    priority : int
        Rank; 0 is the most urgent.
    due : float
        When its target latency is over; an answer up to then has its full value.
    deadline : float
        When it expires; an answer after that has no value.
    work : float
        Expected service time at this backend server at full speed, in seconds.
    spread : float
        Mean deviation of the service time, in seconds; about one request in five takes longer by
        more than this.
    """

    priority: int
    due: float
    deadline: float
    work: float
    spread: float = 0.0
