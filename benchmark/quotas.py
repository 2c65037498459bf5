"""Compares ways to enforce a team's quota over all nodes, with the same load and seeds.

Usage: python -m benchmark.quotas

Prints for each variant: the share of a load within the quota that was rejected, the most requests
that were admitted in a window, as a ratio of the allowed number, and the rate that a team over its
quota got, as a ratio of the quota.
"""

from __future__ import annotations

import functools
import random
import sys
from typing import TYPE_CHECKING

from hoisthook.identity import TeamName
from hoisthook.teams.team import Quota
from hoisthook.teams.team import Team
from hoisthook.token_bucket import TokenBucket
from standin.quota_fleet import BOUNDS
from standin.quota_fleet import Fleet
from standin.quota_fleet import run_scenario
from standin.quota_fleet import window_limit

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    # From the time and node of each request, the times of the admitted ones.
    Admit = Callable[[Iterable[tuple[float, int]], Quota], list[float]]
    # From a rate and a seed, the times of admitted requests and the number of arrivals.
    Variant = Callable[[float, int], tuple[list[float], int]]

NODES = (20, 19, 17, 18)
LARGE = Team(TeamName("large"), (), quota=Quota(95.0, 95.0))
NORMAL_PER_SECOND = 59.0
HOT_PER_SECOND = 250.0
SECONDS = 20.0
# Age of the demand that nodes report to each other, when it is sent with the periodic polls.
DEMAND_DELAY_SECONDS = 1.5
RESIZE_SECONDS = 0.6
SEEDS = range(5)


def arrivals(per_second: float, seed: int) -> list[tuple[float, int]]:
    """Return times and nodes of requests, in seconds and node numbers."""
    rng = random.Random(seed)
    now = 0.0
    times_and_nodes = []
    while (now := now + rng.expovariate(per_second)) < SECONDS:
        times_and_nodes.append((now, rng.randrange(sum(NODES))))
    return times_and_nodes


def equal_shares(requests: Iterable[tuple[float, int]], quota: Quota) -> list[float]:
    """Return the times of admitted requests if each node has an equal share of the quota."""
    count = sum(NODES)
    rate, depth = BOUNDS.rate(quota) / count, max(1.0, BOUNDS.depth(quota) / count)
    buckets = [TokenBucket(rate, depth, depth, 0.0) for _ in range(count)]
    admitted = []
    for now, node in requests:
        if buckets[node].level(now) >= 1.0:
            buckets[node].take(1.0, now)
            admitted.append(now)
    return admitted


def shares_by_demand(requests: Iterable[tuple[float, int]], quota: Quota) -> list[float]:
    """Return the times of admitted requests if shares follow the demand that nodes report."""
    count = sum(NODES)
    rate = BOUNDS.rate(quota)
    buckets = [TokenBucket(rate / count, 1.0, 1.0, 0.0) for _ in range(count)]
    arrived: list[tuple[float, int]] = []
    admitted = []
    resized_at = 0.0
    for now, node in requests:
        if now - resized_at >= RESIZE_SECONDS:
            resized_at = now
            reported_nodes = [
                n for at, n in arrived if now - 2 * DEMAND_DELAY_SECONDS <= at < now - 1.5
            ]
            for number, bucket in enumerate(buckets):
                share = (reported_nodes.count(number) + 0.5) / (len(reported_nodes) + 0.5 * count)
                bucket.resize(rate * share, max(1.0, BOUNDS.depth(quota) * share), now)
        arrived.append((now, node))
        if buckets[node].level(now) >= 1.0:
            buckets[node].take(1.0, now)
            admitted.append(now)
    return admitted


def granted_tokens(per_second: float, seed: int) -> tuple[list[float], int]:
    """Run the implemented variant, in which one node per data centre grants tokens."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.send_requests(LARGE, per_second, SECONDS)

    fleet = run_scenario(NODES, seed, scenario)
    return fleet.admitted[LARGE.name], fleet.requested[LARGE.name]


def max_in_window(times: list[float]) -> int:
    """Return the largest number of times in one window."""
    return max(
        (sum(1 for t in times if at <= t < at + BOUNDS.window) for at in times[::5]), default=0
    )


def main() -> int:
    """Run all variants and print a line for each."""
    quota = LARGE.quota
    assert quota is not None
    variants: dict[str, Variant] = {
        "equal shares": functools.partial(_simulate, equal_shares, quota),
        "shares by reported demand": functools.partial(_simulate, shares_by_demand, quota),
        "granted tokens": granted_tokens,
    }
    for name, variant in variants.items():
        normal = [variant(NORMAL_PER_SECOND, seed) for seed in SEEDS]
        hot = [variant(HOT_PER_SECOND, seed) for seed in SEEDS]
        rejected_share = 1.0 - sum(len(a) for a, _ in normal) / sum(
            arrived for _, arrived in normal
        )
        window_ratio = max(max_in_window(a) for a, _ in hot) / window_limit(quota)
        granted_ratio = sum(len(a) for a, _ in hot) / len(SEEDS) / (quota.per_second * SECONDS)
        sys.stdout.write(
            f"{name}: normal load rejected {rejected_share:.1%}, hot team's fullest window "
            f"{window_ratio:.2f} of what is allowed, hot team got {granted_ratio:.2f} of its rate\n"
        )
    return 0


def _simulate(admit: Admit, quota: Quota, per_second: float, seed: int) -> tuple[list[float], int]:
    requests = arrivals(per_second, seed)
    return admit(requests, quota), len(requests)


if __name__ == "__main__":
    sys.exit(main())
