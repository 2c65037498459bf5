"""A budget of repeats at one backend server, a part of what all nodes of its service share."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.retry.arrival import Arrival
from hoisthook.token_bucket import ROUNDING
from hoisthook.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.identity import NodeId

# Of a node's part of the fixed number: what can be saved up, and what accrues in a window.
SAVED_SHARE = 0.25
ACCRUED_SHARE = 0.5
# What tries may use beyond it whose first was given up at a silent node.
UNHEARD_SHARE = 0.25
# Of what is saved up and accrues, for reruns.
RERUN_SHARE = 0.2
# Tokens below which a node's part cannot be saved up and spent whole.
MIN_PART = 2.0
# Tokens that one repeat takes.
TRY = 1.0


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The budget of repeats of a service, all its backend servers together.

    Attributes
    ----------
    ratio : float
        Repeats per request of callers.
    window : float
        Seconds.
    extra : float
        Repeats that may arrive in a window besides.
    """

    ratio: float
    window: float
    extra: float


class ArrivalBudget:
    """Tokens that accrue with time and with requests; each repeat that arrives takes one.

    Load pattern: a service turns away most of what it gets, while nodes are killed and started
    in series. A count of the last window begins empty at each start, so that each start has the
    fixed number once more; tokens that begin at none make a start a loss. What is saved up and
    what accrues in a window are within the node's part, so no window of all nodes together holds
    more, however often they start.

    Reruns have a part only: they are late and make their calls again, at a service that may be
    the one that is short.

    Parameters
    ----------
    settings : RetrySettings
        The budget of the service.
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, settings: RetrySettings, now: float) -> None:
        self._settings = settings
        self._all = TokenBucket(0.0, 0.0, 0.0, now)
        self._reruns = TokenBucket(0.0, 0.0, 0.0, now)
        self.part = 0.0

    def has_part(self, part: float, now: float) -> None:
        """Set this node's part of the fixed number; 0 while it is not known."""
        if part == self.part:
            return
        self.part = part
        depth = min(part, max(TRY, SAVED_SHARE * part))
        rate = min(ACCRUED_SHARE * part, part - depth) / self._settings.window
        self._all.resize(rate, depth, now)
        self._reruns.resize(RERUN_SHARE * rate, min(depth, max(TRY, RERUN_SHARE * depth)), now)

    def requested(self, requests: float, now: float) -> None:
        """Take in that requests of callers have arrived for the first time."""
        tokens = self._settings.ratio * requests
        self._all.put_back(tokens, now)
        self._reruns.put_back(RERUN_SHARE * tokens, now)

    def allows(self, arrival: Arrival, now: float) -> bool:
        """Return whether a try may arrive."""
        floor = self._floor(arrival)
        return all(bucket.level(now) >= floor - ROUNDING for bucket in self._needed(arrival))

    def arrived(self, arrival: Arrival, now: float) -> None:
        """Take what a try costs."""
        for bucket in self._needed(arrival):
            bucket.take(TRY, now)

    def called(self, repeat: float, now: float) -> None:
        """Take what a call costs that may be made by a repeated run, whatever is left.

        Turned away, it would spoil the run that waits for it.

        Parameters
        ----------
        repeat : float
            Chance that the run is a repeat.
        now : float
            The moment.
        """
        self._all.take(TRY * repeat, now)

    def owes(self, now: float) -> bool:
        """Return whether calls of repeated runs have taken more than is left for them."""
        return self._all.level(now) < 0.0

    def opens_in(self, arrival: Arrival, now: float) -> float:
        """Return the seconds until a try may arrive, without requests that come meanwhile."""
        floor = self._floor(arrival)
        return max((bucket.seconds_to(floor, now) for bucket in self._needed(arrival)), default=0.0)

    def level(self, now: float) -> float:
        """Return the tokens that are left."""
        return self._all.level(now)

    def _floor(self, arrival: Arrival) -> float:
        """Return the level from which on a try may arrive.

        Most of what is given up at a silent node never arrives there: it may be owed.
        """
        return -UNHEARD_SHARE * self.part if arrival is Arrival.UNHEARD else TRY

    def _needed(self, arrival: Arrival) -> tuple[TokenBucket, ...]:
        match arrival:
            case Arrival.FIRST:
                return ()
            case Arrival.UNHEARD | Arrival.REDIRECTED:
                return (self._all,)
            case Arrival.RERUN:
                return (self._all, self._reruns)


def part_of(extra: float, node: NodeId, nodes: Iterable[NodeId]) -> float:
    """Return a node's part of the fixed number.

    Equal parts, unless these are too small to spend: then as many nodes as can have a part of use
    have one, by a hash, so that nodes that know the same others agree on who they are.

    Parameters
    ----------
    extra : float
        The fixed number.
    node : NodeId
        Whose part.
    nodes : iterable of NodeId
        All that share it, this one among them.
    """
    sharing = set(nodes)
    if extra >= MIN_PART * len(sharing):
        return extra / max(1, len(sharing))
    first = sorted(sharing, key=lambda other: (zlib.crc32(other.encode()), other))
    return MIN_PART if node in first[: int(extra / MIN_PART)] else 0.0
