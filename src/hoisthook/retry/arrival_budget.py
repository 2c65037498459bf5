"""The repeat budget at one backend server: its part of the budget of the service."""

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

# Shares of a node's part of the fixed budget: what can be saved up, and what accrues in a window.
SAVED_SHARE = 0.25
ACCRUED_SHARE = 0.5
# Share of the part that attempts may overdraw if an earlier one timed out at an unresponsive node.
PENDING_SHARE = 0.25
# Share of the tokens, saved and accruing, that reruns may take.
RERUN_SHARE = 0.2
# Smallest part, in tokens, that can be saved up and spent completely.
MIN_SPENDABLE_PART = 2.0
# Tokens per repeat.
REPEAT_COST = 1.0


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The repeat budget of a service, for all its backend servers together.

    Attributes
    ----------
    ratio : float
        Repeats allowed per request of callers.
    window : float
        Length of the window in seconds.
    extra : float
        Fixed budget: repeats allowed per window in addition.
    """

    ratio: float
    window: float
    extra: float


class ArrivalBudget:
    """Token bucket filled by time and by requests; each repeat that arrives takes a token.

    Load pattern: a service rejects most requests while its nodes are killed and restarted one
    after the other. A counter of the last window would be empty after each start and so grant
    the fixed budget again; a bucket that starts empty makes a restart a loss instead. Saved
    tokens and the accrual of one window together stay within the node's part, so all nodes
    together never exceed the budget in any window, however often they restart.

    Reruns may take only a share of the tokens: they are late and make their calls again, possibly
    to the very service that is overloaded.

    Parameters
    ----------
    settings : RetrySettings
        The budget of the service.
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, settings: RetrySettings, now: float) -> None:
        self._settings = settings
        self._repeats = TokenBucket(0.0, 0.0, 0.0, now)
        self._reruns = TokenBucket(0.0, 0.0, 0.0, now)
        self.part = 0.0

    def set_part(self, part: float, now: float) -> None:
        """Set this node's part of the fixed budget in tokens; 0 while it is not known."""
        if part == self.part:
            return
        self.part = part
        depth = min(part, max(REPEAT_COST, SAVED_SHARE * part))
        rate = min(ACCRUED_SHARE * part, part - depth) / self._settings.window
        self._repeats.resize(rate, depth, now)
        self._reruns.resize(
            RERUN_SHARE * rate, min(depth, max(REPEAT_COST, RERUN_SHARE * depth)), now
        )

    def record_requests(self, requests: float, now: float) -> None:
        """Add the tokens for requests of callers that have arrived for the first time."""
        tokens = self._settings.ratio * requests
        self._repeats.put_back(tokens, now)
        self._reruns.put_back(RERUN_SHARE * tokens, now)

    def allows(self, arrival: Arrival, now: float) -> bool:
        """Return whether the budget allows an attempt."""
        min_level = self._min_level(arrival)
        return all(bucket.level(now) >= min_level - ROUNDING for bucket in self._buckets(arrival))

    def arrived(self, arrival: Arrival, now: float) -> None:
        """Take the tokens for an attempt that has arrived."""
        for bucket in self._buckets(arrival):
            bucket.take(REPEAT_COST, now)

    def charge_call(self, repeat_chance: float, now: float) -> None:
        """Take the tokens for a call that a repeated execution may have made, even into debt.

        Rejecting the call would waste the execution that waits for it.

        Parameters
        ----------
        repeat_chance : float
            Probability that the calling execution is a repeat, from 0 to 1.
        now : float
            Seconds on a monotonic clock.
        """
        self._repeats.take(REPEAT_COST * repeat_chance, now)

    def is_overdrawn(self, now: float) -> bool:
        """Return whether calls of repeated executions have overdrawn the budget."""
        return self._repeats.level(now) < 0.0

    def opens_in(self, arrival: Arrival, now: float) -> float:
        """Return the seconds until an attempt is allowed if no request adds tokens meanwhile."""
        min_level = self._min_level(arrival)
        return max(
            (bucket.seconds_to(min_level, now) for bucket in self._buckets(arrival)), default=0.0
        )

    def level(self, now: float) -> float:
        """Return the tokens that are left; below 0 if overdrawn."""
        return self._repeats.level(now)

    def _min_level(self, arrival: Arrival) -> float:
        """Return the lowest level at which an attempt is allowed.

        Most requests that time out at an unresponsive node never arrive there, so a repeat of
        one may overdraw the budget.
        """
        return -PENDING_SHARE * self.part if arrival is Arrival.UNHEARD else REPEAT_COST

    def _buckets(self, arrival: Arrival) -> tuple[TokenBucket, ...]:
        match arrival:
            case Arrival.FIRST:
                return ()
            case Arrival.UNHEARD | Arrival.REDIRECTED:
                return (self._repeats,)
            case Arrival.RERUN:
                return (self._repeats, self._reruns)


def node_part(extra: float, node: NodeId, nodes: Iterable[NodeId]) -> float:
    """Return a node's part of the fixed budget in tokens.

    Parts are equal unless they would be too small to spend. In that case as many nodes as
    possible get the smallest spendable part and the others none. The nodes are selected by a
    hash, so that nodes with the same membership view select the same ones.

    Parameters
    ----------
    extra : float
        The fixed budget in tokens.
    node : NodeId
        The node whose part is returned.
    nodes : iterable of NodeId
        All nodes that share the budget, including ``node``.
    """
    node_set = set(nodes)
    if extra >= MIN_SPENDABLE_PART * len(node_set):
        return extra / max(1, len(node_set))
    ranked = sorted(node_set, key=lambda candidate: (zlib.crc32(candidate.encode()), candidate))
    return MIN_SPENDABLE_PART if node in ranked[: int(extra / MIN_SPENDABLE_PART)] else 0.0
