"""What a request asks of the backend server that is to run it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """One request as admission sees it; times on the node's clock, in seconds.

    Attributes
    ----------
    priority : int
        Rank; 0 is the most urgent.
    due : float
        When its target latency is over: an answer up to then has its full worth.
    deadline : float
        When its answer is of no use any more.
    work : float
        How long it usually takes at this backend server where nothing slows it.
    spread : float
        How much longer it takes about once in five times: the mean deviation, in seconds.
    """

    priority: int
    due: float
    deadline: float
    work: float
    spread: float = 0.0
