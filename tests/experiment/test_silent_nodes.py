"""Nodes that are repeatedly unresponsive for less than a target latency, near full load."""

from __future__ import annotations

import pytest

from hoisthook.experiment.load_pattern import Disruption
from hoisthook.experiment.load_pattern import DisruptionKind
from hoisthook.experiment.modelled_system import ModelledSystem
from tests.experiment.test_retry_budget import DISRUPTION_TIMES
from tests.experiment.test_retry_budget import READS
from tests.experiment.test_retry_budget import SEEDS
from tests.experiment.test_retry_budget import assert_within_budget
from tests.experiment.test_retry_budget import pattern

SILENT_SECONDS = 0.3
# Upper limit of the share of requests lost at nodes that respond again in time.
MAX_FAILED_SHARE = 1 / 200


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_at_nodes_that_come_back_in_time_are_not_lost(seed: int) -> None:
    """Guards against status 502 for requests that silent nodes execute once they respond again."""
    silent_periods = [
        Disruption(DisruptionKind.SILENT, at, SILENT_SECONDS, 0.5, service=READS)
        for at in DISRUPTION_TIMES
    ]
    load = pattern(*silent_periods, retries=0, reads=180.0)
    results = ModelledSystem(load, seed).play()
    requests = results.in_time + results.late + results.refused + results.failed
    assert results.failed <= MAX_FAILED_SHARE * requests
    assert_within_budget(load, seed)
