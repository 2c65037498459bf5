"""Ways of choosing a backend server; all but the first are baselines."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hoisthook.port.clock import Randomness
    from hoisthook.routing.candidate import Candidate

TOLERANCE = 1.25


class PolicyName(Enum):
    """Names in the settings."""

    HOISTHOOK = "hoisthook"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_IN_FLIGHT = "least-in-flight"
    TWO_CHOICES = "two-choices"


class Policy(Protocol):
    """Chooses among candidates."""

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates, of which there is at least one."""


class ExpectedTime:
    """The least expected time, drawn evenly among those within a tolerance of it."""

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        scores = [candidate.view.score(now) for candidate in candidates]
        bound = min(scores) * TOLERANCE
        near = [c for c, score in zip(candidates, scores, strict=True) if score <= bound]
        if len(near) == 1:
            return near[0]
        return near[self._randomness.randrange(len(near))]


class RandomChoice:
    """Each as likely."""

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        return candidates[self._randomness.randrange(len(candidates))]


class RoundRobin:
    """Each in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastInFlight:
    """The one with the fewest of this entry's own requests."""

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        least = min(candidate.view.in_flight for candidate in candidates)
        near = [candidate for candidate in candidates if candidate.view.in_flight == least]
        return near[self._randomness.randrange(len(near))]


class TwoChoices:
    """The less loaded, by its last report however old, of two drawn at random."""

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate:
        """Return one of the candidates."""
        first = candidates[self._randomness.randrange(len(candidates))]
        second = candidates[self._randomness.randrange(len(candidates))]
        return min(first, second, key=lambda candidate: candidate.view.reported_load)


def make_policy(name: PolicyName, randomness: Randomness) -> Policy:
    """Return the policy of that name."""
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
