"""At a cold backend server the less urgent leaves room for what is more urgent."""

from __future__ import annotations

from hoisthook.admission.admission_policy import AdmissionPolicy
from hoisthook.admission.admission_policy import Verdict
from hoisthook.admission.cold_limit import WINDOW_SECONDS
from hoisthook.admission.demand import Demand
from hoisthook.admission.priority_gate import PriorityGate
from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.admission.urgent_arrivals import MAX_KEPT_SHARE
from hoisthook.admission.urgent_arrivals import UrgentArrivals
from tests.fakes import FakeClock

URGENT, OTHER = 0, 1
LIMIT = 20
SECONDS = 5


async def served_by_rank(urgent_per_second: int, other_per_second: int) -> dict[int, float]:
    """Return which share of each rank a cold server takes that gets more than it bears.

    Arrivals are evenly spread, and whatever is admitted ends at once.
    """
    clock = FakeClock()
    gate = PriorityGate(100, ServerSpeed(), clock)
    policy = AdmissionPolicy(gate, ServerSpeed(), clock)
    gate.cold.bound(LIMIT)
    clock.advance(WINDOW_SECONDS)
    gate.cold.observed(1000.0, clock.now(), clock.now())
    came = {URGENT: 0, OTHER: 0}
    taken = {URGENT: 0, OTHER: 0}
    arrivals = sorted(
        (number / rate, rank)
        for rank, rate in ((URGENT, urgent_per_second), (OTHER, other_per_second))
        for number in range(rate * SECONDS)
    )
    begun = clock.now()
    for at, rank in arrivals:
        clock.time = begun + at
        demand = Demand(rank, clock.now() + 1.0, clock.now() + 2.0, 0.01)
        gate.urgent.arrived(rank, clock.now())
        came[rank] += 1
        if policy.start_now(demand).verdict is Verdict.ADMIT:
            slot = await gate.enter(demand)
            assert slot is not None
            gate.sent(slot)
            gate.leave(slot)
            taken[rank] += 1
    return {rank: taken[rank] / came[rank] for rank in came}


async def test_more_urgent_is_served_whole_while_it_fits() -> None:
    """As calls under registrations do beside the lookups of a cold service."""
    served = await served_by_rank(9, 17)
    assert served[URGENT] > 0.9
    # First come, first served gives both the same: 0.7.
    assert 0.4 < served[OTHER] < 0.65


async def test_nobody_is_starved() -> None:
    served = await served_by_rank(60, 20)
    assert served[OTHER] >= (1.0 - MAX_KEPT_SHARE) * LIMIT / 20 * 0.8


async def test_all_the_room_is_used_where_nothing_more_urgent_comes() -> None:
    served = await served_by_rank(1, 30)
    assert served[OTHER] > 0.5


def test_what_came_long_ago_keeps_nothing() -> None:
    arrivals = UrgentArrivals()
    for _ in range(5):
        arrivals.arrived(URGENT, 0.0)
    assert arrivals.kept_from(OTHER, LIMIT, 0.5) == 5
    assert arrivals.kept_from(URGENT, LIMIT, 0.5) == 0
    assert arrivals.kept_from(OTHER, LIMIT, 0.1 + WINDOW_SECONDS) == 0
