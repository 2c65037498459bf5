from __future__ import annotations

import pytest

from standin.soak import Soak

SHORT_SECONDS = 4.0
SEEDS = [
    1,
    7,  # a log field hid the node's name; a request was queued at the same node twice
    100,  # fault of the soak test: overlapping faults started a node twice
    106,  # fault of the soak test: an outgoing connection took a node's port
    211,  # fault of the soak test: the health check passed during a drain
    333,  # a reload signal during a node's start terminated it
]


CRASHING_SEEDS = [1, 2]
LIMITING_SEEDS = [
    1,
    726,  # a restarted node without a configuration sent a request to a server that was leaving
]
DEPARTING_SEEDS = [
    1,
    18,  # a late heartbeat revoked the drain of a server that had deregistered since
    24,  # fault of the soak test: a reload signal in the first milliseconds of a node's interpreter
    4,  # fault of the soak test: false health beside a node that started without the store
]
REUSING_SEEDS = [1, 2]
REJECTING_SEEDS = [
    1,
    2,
    19,  # a node started during a store outage sent requests to its draining server
    21,  # as for seed 19
]


@pytest.mark.parametrize("seed", CRASHING_SEEDS)
async def test_crashing_request_is_refused_amid_other_faults(seed: int) -> None:
    results = await Soak(seed, 8.0, crashing=True).run()
    assert results.violations == []
    assert results.statuses[200] > 0
    assert results.faults["ended"] > 0


@pytest.mark.parametrize("seed", SEEDS)
async def test_short_soak_violates_no_guarantee(seed: int) -> None:
    results = await Soak(seed, SHORT_SECONDS).run()
    assert results.violations == []
    assert results.statuses[200] > 0


@pytest.mark.parametrize("seed", REJECTING_SEEDS)
async def test_repeats_stay_within_their_budget_while_nodes_are_killed_in_series(seed: int) -> None:
    results = await Soak(seed, 8.0, rejecting=True).run()
    assert results.violations == []
    assert results.statuses[200] > 0


@pytest.mark.parametrize("seed", LIMITING_SEEDS)
async def test_limits_and_departures_named_in_answers_hold_amid_other_faults(seed: int) -> None:
    results = await Soak(seed, 6.0, limiting=True).run()
    assert results.violations == []
    assert results.statuses[200] > 0
    assert results.faults["limited"] > 0
    assert results.faults["left"] > 0


@pytest.mark.parametrize("seed", DEPARTING_SEEDS)
async def test_deregistrations_outlive_nodes_that_are_killed_in_series(seed: int) -> None:
    results = await Soak(seed, 6.0, departing=True).run()
    assert results.violations == []
    assert results.statuses[200] > 0
    assert results.faults["departed"] > 0


@pytest.mark.parametrize("seed", REUSING_SEEDS)
async def test_reused_addresses_get_no_requests_of_the_former_service(seed: int) -> None:
    results = await Soak(seed, 6.0, reusing=True).run()
    assert results.violations == []
    assert results.statuses[200] > 0
    assert results.faults["reused"] > 0
