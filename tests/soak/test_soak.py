from __future__ import annotations

import pytest

from standin.soak import Soak

SHORT_SECONDS = 4.0
SEEDS = [
    1,
    7,  # a log field hid the node's name; one node was asked twice to queue a request
    100,  # the tool: overlapping faults started one place twice
    106,  # the tool: a listening port was taken by an outgoing connection
    211,  # the stand-in's health check passed while it drained
    333,  # a reload while a node was starting ended it
]


CRASHING_SEEDS = [1, 2]
REJECTING_SEEDS = [
    1,
    2,
    19,  # a node started while the store was away sent its draining backend server requests
    21,  # the same
]


@pytest.mark.parametrize("seed", CRASHING_SEEDS)
async def test_work_that_ends_backend_servers_is_held_off_amid_other_faults(seed: int) -> None:
    findings = await Soak(seed, 8.0, crashing=True).run()
    assert findings.broken == []
    assert findings.statuses[200] > 0
    assert findings.faults["ended"] > 0


@pytest.mark.parametrize("seed", SEEDS)
async def test_short_soak_keeps_every_promise(seed: int) -> None:
    findings = await Soak(seed, SHORT_SECONDS).run()
    assert findings.broken == []
    assert findings.statuses[200] > 0


@pytest.mark.parametrize("seed", REJECTING_SEEDS)
async def test_repeats_stay_within_their_budget_while_nodes_are_killed_in_series(seed: int) -> None:
    findings = await Soak(seed, 8.0, rejecting=True).run()
    assert findings.broken == []
    assert findings.statuses[200] > 0
