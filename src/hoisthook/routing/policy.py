"""Policies for choosing a backend server; all but `ExpectedTime` are baselines."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hoisthook.port.clock import Randomness
    from hoisthook.routing.candidate import Candidate

# Ratio to the least expected time up to which candidates count as equal.
TOLERANCE = 1.25


class PolicyName(Enum):
    """Names of the policies in the settings."""

    HOISTHOOK = "hoisthook"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_IN_FLIGHT = "least-in-flight"
    TWO_CHOICES = "two-choices"


class Policy(Protocol):
    """Chooses one of several candidates."""

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates; there must be at least one."""


class ExpectedTime:
    """Least expected time, chosen at random among candidates within `TOLERANCE` of it."""

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        scores = [candidate.view.score(now) for candidate in candidates]
        bound = min(scores) * TOLERANCE
        nearly_best = [c for c, score in zip(candidates, scores, strict=True) if score <= bound]
        if len(nearly_best) == 1:
            return nearly_best[0]
        return nearly_best[self._randomness.randrange(len(nearly_best))]


class RandomChoice:
    """Uniform random choice."""

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        return candidates[self._randomness.randrange(len(candidates))]


class RoundRobin:
    """Each candidate in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastInFlight:
    """The candidate with the fewest of this node's own requests in flight."""

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        least = min(candidate.view.in_flight for candidate in candidates)
        least_loaded = [c for c in candidates if c.view.in_flight == least]
        return least_loaded[self._randomness.randrange(len(least_loaded))]


class TwoChoices:
    """The less loaded of two random candidates by their last reports, regardless of age."""

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        first = candidates[self._randomness.randrange(len(candidates))]
        second = candidates[self._randomness.randrange(len(candidates))]
        return min(first, second, key=lambda candidate: candidate.view.reported_load)


def make_policy(name: PolicyName, randomness: Randomness) -> Policy:
    """Return a new policy by its name."""
    match name:
        case PolicyName.HOISTHOOK:
            return ExpectedTime(randomness)
        case PolicyName.RANDOM:
            return RandomChoice(randomness)
        case PolicyName.ROUND_ROBIN:
            return RoundRobin()
        case PolicyName.LEAST_IN_FLIGHT:
            return LeastInFlight(randomness)
        case PolicyName.TWO_CHOICES:
            return TwoChoices(randomness)
