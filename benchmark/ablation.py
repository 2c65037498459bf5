"""What each decision is worth in the model: load patterns played with it and without it.

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
NEVER = 1_000_000

# Each mechanism: where it is, and what stands there when it is switched off.
Switch = tuple[object, str, object]
SWITCH_BY_MECHANISM: dict[str, Switch] = {
    "reads by chance of change": (admission_policy, "MAX_BLIND_CHANCE", 1.0),
    "short slow moments waited out": (ServerSpeed, "is_worth_holding", lambda *_: False),
    "long slow moments not waited out": (
        ServerSpeed,
        "is_worth_holding",
        lambda speed, _work, _now: speed.slow_periods.is_slow,
    ),
    "cold start told from slow moments": (SlowPeriods, "base", property(lambda _: 1.0)),
    "pace learned": (ServerSpeed, "pace", lambda *_: 1.0),
    "overdue work": (priority_gate, "MIN_STALLED", NEVER),
    "room for the spread of work": (WorkTimes, "spread", lambda *_: 0.0),
    "in time before late": (
        priority_gate.PriorityGate,
        "_order",
        lambda _gate, demand, _now: (False, demand.priority, demand.due),
    ),
    "refused at once by forecast": (
        priority_gate.PriorityGate,
        "forecast_start",
        lambda gate, *_: gate._clock.now(),
    ),
    "reads while requests are held": (admitter, "HOLDING_READ_SECONDS", 0.5),
}


def main() -> None:
    """Print the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    patterns = [load_pattern(path) for path in sorted(PATTERNS.glob("*.toml"))]
    names = " | ".join(pattern.name for pattern in patterns)
    sys.stdout.write(f"| switched off | {names} |\n|{'---|' * (len(patterns) + 1)}\n")
    _write_row("nothing", patterns, seeds)
    for mechanism, switch in SWITCH_BY_MECHANISM.items():
        with _switched_off(switch):
            _write_row(mechanism, patterns, seeds)


def _write_row(name: str, patterns: list[LoadPattern], seeds: int) -> None:
    shares = " | ".join(f"{_mean_share(pattern, seeds):.3f}" for pattern in patterns)
    sys.stdout.write(f"| {name} | {shares} |\n")
    sys.stdout.flush()


def _mean_share(pattern: LoadPattern, seeds: int) -> float:
    return sum(ModelledSystem(pattern, seed).play().share for seed in range(1, seeds + 1)) / seeds


@contextmanager
def _switched_off(switch: Switch) -> Iterator[None]:
    owner, name, replacement = switch
    kept = vars(owner)[name]
    setattr(owner, name, replacement)
    try:
        yield
    finally:
        setattr(owner, name, kept)


if __name__ == "__main__":
    main()
