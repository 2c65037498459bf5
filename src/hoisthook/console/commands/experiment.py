"""Simulates load patterns and prints a table of their results."""

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
MS_PER_SECOND = 1000.0
HEADINGS = (
    *("pattern", "seed", "requests", "share", "worst", "in time", "late", "refused", "failed"),
    *("reads", "p50 ms", "p99 ms"),
)


class ExperimentCommand:
    """``hoisthook experiment [--seeds N] FILE ...``."""

    name = "experiment"
    description = "simulate load patterns with the routing and admission code of a node"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("files", nargs="+", type=Path, help="load pattern files in TOML")
        parser.add_argument(
            "--seeds", type=int, default=DEFAULT_SEEDS, help="number of seeds per pattern, from 1"
        )

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        patterns = [load_pattern(path) for path in arguments.files]
        sys.stdout.write("\t".join(HEADINGS) + "\n")
        for pattern in patterns:
            for seed in range(1, arguments.seeds + 1):
                results = ModelledSystem(pattern, seed).play()
                sys.stdout.write(f"{pattern.name}\t{seed}\t{_row(results)}\n")
        return 0


def _row(results: LoadResults) -> str:
    counts = (results.in_time, results.late, results.refused, results.failed, results.reads)
    quantiles_ms = (results.quantile(0.5) * MS_PER_SECOND, results.quantile(0.99) * MS_PER_SECOND)
    return "\t".join(
        [
            str(results.requests),
            f"{results.share:.3f}",
            f"{results.worst_share:.2f}",
            *(str(count) for count in counts),
            *(f"{milliseconds:.0f}" for milliseconds in quantiles_ms),
        ]
    )
