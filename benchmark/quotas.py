"""Compares ways to hold a team's quota over all nodes, on the same load and seeds.

Prints for each: the most that ran in a window as a share of what is allowed, how much of what lay
within the quota was refused, and how much of the quota a hot team got.
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

    # When requests are admitted, given when and where they come.
    Admit = Callable[[Iterable[tuple[float, int]], Quota], list[float]]
    # Given a rate and a seed, when requests are admitted, and how many came.
    Way = Callable[[float, int], tuple[list[float], int]]

NODES = (20, 19, 17, 18)
LARGE = Team(TeamName("large"), (), quota=Quota(95.0, 95.0))
USUAL_PER_SECOND = 59.0
HOT_PER_SECOND = 250.0
SECONDS = 20.0
# How old the demand is that nodes tell each other with the questions they ask anyway.
TOLD_AFTER_SECONDS = 1.5
ROUND_SECONDS = 0.6
SEEDS = range(5)


def arrivals(per_second: float, seed: int) -> list[tuple[float, int]]:
    """Return moments and nodes of requests."""
    chance = random.Random(seed)
    now = 0.0
    found = []
    while (now := now + chance.expovariate(per_second)) < SECONDS:
        found.append((now, chance.randrange(sum(NODES))))
    return found


def equal_shares(requests: Iterable[tuple[float, int]], quota: Quota) -> list[float]:
    """Return when requests are admitted where each node has the same part of the quota."""
    count = sum(NODES)
    rate, depth = BOUNDS.rate(quota) / count, max(1.0, BOUNDS.depth(quota) / count)
    buckets = [TokenBucket(rate, depth, depth, 0.0) for _ in range(count)]
    admitted = []
    for now, node in requests:
        if buckets[node].level(now) >= 1.0:
            buckets[node].take(1.0, now)
            admitted.append(now)
    return admitted


def told_demand(requests: Iterable[tuple[float, int]], quota: Quota) -> list[float]:
    """Return when requests are admitted where parts follow the demand that nodes tell."""
    count = sum(NODES)
    rate = BOUNDS.rate(quota)
    buckets = [TokenBucket(rate / count, 1.0, 1.0, 0.0) for _ in range(count)]
    seen: list[tuple[float, int]] = []
    admitted = []
    told_at = 0.0
    for now, node in requests:
        if now - told_at >= ROUND_SECONDS:
            told_at = now
            old = [n for at, n in seen if now - 2 * TOLD_AFTER_SECONDS <= at < now - 1.5]
            for number, bucket in enumerate(buckets):
                part = (old.count(number) + 0.5) / (len(old) + 0.5 * count)
                bucket.resize(rate * part, max(1.0, BOUNDS.depth(quota) * part), now)
        seen.append((now, node))
        if buckets[node].level(now) >= 1.0:
            buckets[node].take(1.0, now)
            admitted.append(now)
    return admitted


def given_out(per_second: float, seed: int) -> tuple[list[float], int]:
    """Return what the way that is used admits: tokens from one node a data centre."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.send_requests(LARGE, per_second, SECONDS)

    fleet = run_scenario(NODES, seed, scenario)
    return fleet.admitted[LARGE.name], fleet.requested[LARGE.name]


def most_in_window(times: list[float]) -> int:
    """Return the most in any window."""
    return max(
        (sum(1 for t in times if at <= t < at + BOUNDS.window) for at in times[::5]), default=0
    )


def main() -> int:
    """Print the table."""
    quota = LARGE.quota
    assert quota is not None
    ways: dict[str, Way] = {
        "equal shares": functools.partial(_alone, equal_shares, quota),
        "shares by told demand": functools.partial(_alone, told_demand, quota),
        "tokens given out": given_out,
    }
    for name, way in ways.items():
        usual = [way(USUAL_PER_SECOND, seed) for seed in SEEDS]
        hot = [way(HOT_PER_SECOND, seed) for seed in SEEDS]
        refused = 1.0 - sum(len(a) for a, _ in usual) / sum(requested for _, requested in usual)
        most = max(most_in_window(a) for a, _ in hot) / window_limit(quota)
        got = sum(len(a) for a, _ in hot) / len(SEEDS) / (quota.per_second * SECONDS)
        sys.stdout.write(
            f"{name}: usual load refused {refused:.1%}, hot team's fullest window {most:.2f} of "
            f"what is allowed, hot team got {got:.2f} of its rate\n"
        )
    return 0


def _alone(admit: Admit, quota: Quota, per_second: float, seed: int) -> tuple[list[float], int]:
    requests = arrivals(per_second, seed)
    return admit(requests, quota), len(requests)


if __name__ == "__main__":
    sys.exit(main())
