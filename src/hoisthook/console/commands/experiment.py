"""Plays load patterns on the model and prints what became of their requests."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from hoisthook.experiment.modelled_system import ModelledSystem
from hoisthook.experiment.pattern_file import load_pattern

if TYPE_CHECKING:
    import argparse

    from hoisthook.experiment.load_pattern import LoadResults

DEFAULT_SEEDS = 3
MILLIS = 1000.0
HEADINGS = (
    *("pattern", "seed", "requests", "share", "worst", "in time", "late", "refused", "failed"),
    *("reads", "p50 ms", "p99 ms"),
)


class ExperimentCommand:
    """``hoisthook experiment [--seeds N] FILE ...``."""

    name = "experiment"
    description = "play load patterns on a model that runs the real decisions"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("files", nargs="+", type=Path, help="load patterns in TOML")
        parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS, help="plays a pattern")

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run it and return the exit status."""
        patterns = [load_pattern(path) for path in arguments.files]
        sys.stdout.write("\t".join(HEADINGS) + "\n")
        for pattern in patterns:
            for seed in range(1, arguments.seeds + 1):
                results = ModelledSystem(pattern, seed).play()
                sys.stdout.write(f"{pattern.name}\t{seed}\t{_row(results)}\n")
        return 0


def _row(results: LoadResults) -> str:
    counts = (results.in_time, results.late, results.refused, results.failed, results.reads)
    times = (results.quantile(0.5) * MILLIS, results.quantile(0.99) * MILLIS)
    return "\t".join(
        [
            str(results.requests),
            f"{results.share:.3f}",
            f"{results.worst_share:.2f}",
            *(str(count) for count in counts),
            *(f"{milliseconds:.0f}" for milliseconds in times),
        ]
    )
