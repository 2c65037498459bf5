"""A cold backend server withholds capacity for more urgent requests."""

from __future__ import annotations

from hoisthook.admission.admission_policy import AdmissionPolicy
from hoisthook.admission.admission_policy import Verdict
from hoisthook.admission.cold_limit import WINDOW_SECONDS
from hoisthook.admission.demand import Demand
from hoisthook.admission.priority_gate import PriorityGate
from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.admission.urgent_arrivals import MAX_WITHHELD_SHARE
from hoisthook.admission.urgent_arrivals import UrgentArrivals
from tests.fakes import FakeClock

URGENT, OTHER = 0, 1
LIMIT = 20
SECONDS = 5


async def served_by_rank(urgent_per_second: int, other_per_second: int) -> dict[int, float]:
    """Return the share of each rank that an overloaded cold server admits.

    Arrivals are evenly spread, and admitted requests complete at once.
    """
    clock = FakeClock()
    gate = PriorityGate(100, ServerSpeed(), clock)
    policy = AdmissionPolicy(gate, ServerSpeed(), clock)
    gate.cold.set_rate_limit(LIMIT)
    clock.advance(WINDOW_SECONDS)
    gate.cold.observed(1000.0, clock.now(), clock.now())
    arrived_by_rank = {URGENT: 0, OTHER: 0}
    taken_by_rank = {URGENT: 0, OTHER: 0}
    arrivals = sorted(
        (number / rate, rank)
        for rank, rate in ((URGENT, urgent_per_second), (OTHER, other_per_second))
        for number in range(rate * SECONDS)
    )
    started_at = clock.now()
    for at, rank in arrivals:
        clock.time = started_at + at
        demand = Demand(rank, clock.now() + 1.0, clock.now() + 2.0, 0.01)
        gate.urgent.arrived(rank, clock.now())
        arrived_by_rank[rank] += 1
        if policy.start_now(demand).verdict is Verdict.ADMIT:
            slot = await gate.enter(demand)
            assert slot is not None
            gate.sent(slot)
            gate.leave(slot)
            taken_by_rank[rank] += 1
    return {rank: taken_by_rank[rank] / arrived_by_rank[rank] for rank in arrived_by_rank}


async def test_more_urgent_requests_are_served_while_they_fit() -> None:
    """For example calls of registrations, while a cold service also gets lookups."""
    served = await served_by_rank(9, 17)
    assert served[URGENT] > 0.9
    # In order of arrival both ranks would get the same share, 0.7.
    assert 0.4 < served[OTHER] < 0.65


async def test_less_urgent_requests_are_not_starved() -> None:
    served = await served_by_rank(60, 20)
    assert served[OTHER] >= (1.0 - MAX_WITHHELD_SHARE) * LIMIT / 20 * 0.8


async def test_full_rate_is_used_where_nothing_more_urgent_arrives() -> None:
    served = await served_by_rank(1, 30)
    assert served[OTHER] > 0.5


def test_old_arrivals_withhold_nothing() -> None:
    arrivals = UrgentArrivals()
    for _ in range(5):
        arrivals.arrived(URGENT, 0.0)
    assert arrivals.withheld_from(OTHER, LIMIT, 0.5) == 5
    assert arrivals.withheld_from(URGENT, LIMIT, 0.5) == 0
    assert arrivals.withheld_from(OTHER, LIMIT, 0.1 + WINDOW_SECONDS) == 0
