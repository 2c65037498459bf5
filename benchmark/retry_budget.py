"""What all nodes of a service spend of its budget of repeats at most, at several sizes.

Usage: python -m benchmark.retry_budget

Repeats are asked for at every node all the time. Prints, for each number of nodes, how many repeats
arrived in the fullest window, as a share of the fixed number: in calm, and while half of the nodes
start anew again and again. No requests of callers are counted.
"""

from __future__ import annotations

import random
import sys

from hoisthook.identity import NodeId
from hoisthook.retry.arrival import Arrival
from hoisthook.retry.arrival_budget import ArrivalBudget
from hoisthook.retry.arrival_budget import RetrySettings
from hoisthook.retry.arrival_budget import node_part

NODES = (4, 6, 43, 195, 1000)
# Repeats that operators allow a node of the deployments served, in the mean.
EXTRA_PER_NODE = 2.5
WINDOW_SECONDS = 10.0
SECONDS = 40.0
STEP_SECONDS = 0.1
START_SECONDS = 1.2
STARTED_SHARE = 0.5


def fullest(nodes: int, extra: float, *, starts: bool, seed: int = 1) -> int:
    """Return how many repeats arrive in the fullest window."""
    draw = random.Random(seed)
    settings = RetrySettings(ratio=0.0, window=WINDOW_SECONDS, extra=extra)
    ids = [NodeId(f"node-{number}") for number in range(nodes)]
    parts = [node_part(extra, node, ids) for node in ids]
    budgets = [_started(settings, part, 0.0) for part in parts]
    made: list[float] = []
    for step in range(round(SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if starts and step and step % round(START_SECONDS / STEP_SECONDS) == 0:
            for number in draw.sample(range(nodes), round(STARTED_SHARE * nodes)):
                budgets[number] = _started(settings, parts[number], now)
        for budget in budgets:
            while budget.allows(Arrival.REDIRECTED, now):
                budget.arrived(Arrival.REDIRECTED, now)
                made.append(now)
    begins = sorted(set(made))
    return max(
        (sum(1 for at in made if begin <= at < begin + WINDOW_SECONDS) for begin in begins),
        default=0,
    )


def _started(settings: RetrySettings, part: float, now: float) -> ArrivalBudget:
    budget = ArrivalBudget(settings, now)
    budget.set_part(part, now)
    return budget


def main() -> int:
    """Print a line a size."""
    sys.stdout.write("nodes  extra  calm  half start every 1.2 s  (fullest 10 s)\n")
    for nodes in NODES:
        extra = max(60.0, EXTRA_PER_NODE * nodes)
        calm, starting = (fullest(nodes, extra, starts=starts) for starts in (False, True))
        sys.stdout.write(f"{nodes:5} {extra:6.0f} {calm:5} {starting:8}\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
