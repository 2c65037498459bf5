"""Simulates the most repeats that all nodes of a service allow, for several numbers of nodes.

Usage: python -m benchmark.retry_budget

Every node allows as many repeats as its budget permits, and no first arrivals add to the budgets.
Prints, for each number of nodes, the budget of the service and the most repeats that arrived in a
window: without restarts as the baseline, and while half of the nodes restart every 1.2 s.
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
# Mean number of repeats per window and node that operators of the served deployments allow.
EXTRA_PER_NODE = 2.5
WINDOW_SECONDS = 10.0
SECONDS = 40.0
STEP_SECONDS = 0.1
RESTART_INTERVAL_SECONDS = 1.2
RESTARTED_SHARE = 0.5


def max_repeats_in_window(nodes: int, extra: float, *, restarts: bool, seed: int = 1) -> int:
    """Return the largest number of repeats that arrive in one window."""
    rng = random.Random(seed)
    settings = RetrySettings(ratio=0.0, window=WINDOW_SECONDS, extra=extra)
    ids = [NodeId(f"node-{number}") for number in range(nodes)]
    shares = [node_part(extra, node, ids) for node in ids]
    budgets = [_new_budget(settings, share, 0.0) for share in shares]
    repeat_times: list[float] = []
    for step in range(round(SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if restarts and step and step % round(RESTART_INTERVAL_SECONDS / STEP_SECONDS) == 0:
            for number in rng.sample(range(nodes), round(RESTARTED_SHARE * nodes)):
                budgets[number] = _new_budget(settings, shares[number], now)
        for budget in budgets:
            while budget.allows(Arrival.REDIRECTED, now):
                budget.arrived(Arrival.REDIRECTED, now)
                repeat_times.append(now)
    window_starts = sorted(set(repeat_times))
    return max(
        (
            sum(1 for at in repeat_times if window_start <= at < window_start + WINDOW_SECONDS)
            for window_start in window_starts
        ),
        default=0,
    )


def _new_budget(settings: RetrySettings, share: float, now: float) -> ArrivalBudget:
    budget = ArrivalBudget(settings, now)
    budget.set_part(share, now)
    return budget


def main() -> int:
    """Print a line for each number of nodes."""
    sys.stdout.write("nodes  extra  base  half restart every 1.2 s  (most in 10 s)\n")
    for nodes in NODES:
        extra = max(60.0, EXTRA_PER_NODE * nodes)
        baseline, restarting = (
            max_repeats_in_window(nodes, extra, restarts=restarts) for restarts in (False, True)
        )
        sys.stdout.write(f"{nodes:5} {extra:6.0f} {baseline:5} {restarting:8}\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
