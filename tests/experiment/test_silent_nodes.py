"""Nodes stand still for less than a target latency, in series, while the others are nearly full."""

from __future__ import annotations

import pytest

from hoisthook.experiment.load_pattern import Disruption
from hoisthook.experiment.load_pattern import DisruptionKind
from hoisthook.experiment.modelled_system import ModelledSystem
from tests.experiment.test_retry_budget import READS
from tests.experiment.test_retry_budget import SEEDS
from tests.experiment.test_retry_budget import SERIES
from tests.experiment.test_retry_budget import assert_kept
from tests.experiment.test_retry_budget import pattern

SILENT_SECONDS = 0.3
# Of all requests, what may be lost to nodes that come back in time.
LOST_SHARE = 1 / 200


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_at_nodes_that_come_back_in_time_are_not_lost(seed: int) -> None:
    """Guards against 502 for requests that silent nodes run when they come back."""
    silences = [
        Disruption(DisruptionKind.SILENT, at, SILENT_SECONDS, 0.5, service=READS) for at in SERIES
    ]
    load = pattern(*silences, retries=0, reads=180.0)
    results = ModelledSystem(load, seed).play()
    asked = results.in_time + results.late + results.refused + results.failed
    assert results.failed <= LOST_SHARE * asked
    assert_kept(load, seed)
