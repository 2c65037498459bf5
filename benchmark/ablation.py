"""Ablation study of admission: simulates the load patterns with each mechanism disabled in turn.

Prints a Markdown table: for each disabled mechanism and load pattern the mean of
`LoadResults.share` over the seeds.

Run as ``python -m benchmark.ablation [SEEDS]`` from the repository's root.
"""

from __future__ import annotations

import sys
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from hoisthook.admission import admission_policy
from hoisthook.admission import admitter
from hoisthook.admission import priority_gate
from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.admission.slow_periods import SlowPeriods
from hoisthook.admission.work_times import WorkTimes
from hoisthook.experiment.modelled_system import ModelledSystem
from hoisthook.experiment.pattern_file import load_pattern

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoisthook.experiment.load_pattern import LoadPattern

PATTERNS = Path(__file__).parent / "patterns"
DEFAULT_SEEDS = 4
UNREACHABLE_COUNT = 1_000_000

# Owner of an attribute, the attribute's name, and the value that disables the mechanism.
Replacement = tuple[object, str, object]
REPLACEMENT_BY_MECHANISM: dict[str, Replacement] = {
    "load read when a change of speed is likely": (admission_policy, "MAX_BLIND_CHANCE", 1.0),
    "requests held during short slow periods": (ServerSpeed, "is_worth_holding", lambda *_: False),
    "requests not held during long slow periods": (
        ServerSpeed,
        "is_worth_holding",
        lambda speed, _work, _now: speed.slow_periods.is_slow,
    ),
    "cold start distinguished from slow periods": (SlowPeriods, "base", property(lambda _: 1.0)),
    "speed ratio learned": (ServerSpeed, "pace", lambda *_: 1.0),
    "overdue requests": (priority_gate, "MIN_STALLED", UNREACHABLE_COUNT),
    "margin for the spread of service times": (WorkTimes, "spread", lambda *_: 0.0),
    "requests in time before late ones": (
        priority_gate.PriorityGate,
        "_order",
        lambda _gate, demand, _now: (False, demand.priority, demand.due),
    ),
    "rejected at once by forecast": (
        priority_gate.PriorityGate,
        "forecast_start",
        lambda gate, *_: gate._clock.now(),
    ),
    "frequent load reads while requests are held": (admitter, "HOLDING_READ_SECONDS", 0.5),
}


def main() -> None:
    """Print the table for the number of seeds given on the command line."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    patterns = [load_pattern(path) for path in sorted(PATTERNS.glob("*.toml"))]
    names = " | ".join(pattern.name for pattern in patterns)
    sys.stdout.write(f"| disabled mechanism | {names} |\n|{'---|' * (len(patterns) + 1)}\n")
    _write_row("nothing", patterns, seeds)
    for mechanism, replacement in REPLACEMENT_BY_MECHANISM.items():
        with _replaced(replacement):
            _write_row(mechanism, patterns, seeds)


def _write_row(name: str, patterns: list[LoadPattern], seeds: int) -> None:
    shares = " | ".join(f"{_mean_share(pattern, seeds):.3f}" for pattern in patterns)
    sys.stdout.write(f"| {name} | {shares} |\n")
    sys.stdout.flush()


def _mean_share(pattern: LoadPattern, seeds: int) -> float:
    return sum(ModelledSystem(pattern, seed).play().share for seed in range(1, seeds + 1)) / seeds


@contextmanager
def _replaced(replacement: Replacement) -> Iterator[None]:
    owner, name, value = replacement
    original = vars(owner)[name]
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, original)


if __name__ == "__main__":
    main()
