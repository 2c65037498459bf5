"""Load patterns under which all nodes together exceeded the retry budget of a service."""

from __future__ import annotations

import pytest

from hoisthook.experiment.load_pattern import Disruption
from hoisthook.experiment.load_pattern import DisruptionKind
from hoisthook.experiment.load_pattern import LoadPattern
from hoisthook.experiment.load_pattern import RouteTraits
from hoisthook.experiment.load_pattern import ServiceTraits
from hoisthook.experiment.modelled_node import RETRY_SETTINGS
from hoisthook.experiment.modelled_system import ModelledSystem
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName

READS = ServiceName("reads")
DESK = ServiceName("desk")
SEEDS = (1, 2, 3)
# Half of the nodes are disrupted at each of these times, every 1.2 s.
DISRUPTION_TIMES = [3.0 + 1.2 * number for number in range(8)]


def pattern(
    *disruptions: Disruption,
    retries: int = 1,
    reads: float = 116.0,
    redeems: float = 40.0,
    call_share: float = 0.7,
) -> LoadPattern:
    """Return a pattern of 13 nodes and three services; requests of the first call the second."""
    services = [
        ServiceTraits(READS, 6),
        ServiceTraits(DESK, 4),
        ServiceTraits(ServiceName("pass"), 3),
    ]
    read = RouteTraits(
        RouteName("read"),
        READS,
        reads,
        0.22,
        0.6,
        1.2,
        calls=RouteName("profile"),
        call_share=call_share,
        retries=retries,
    )
    redeem = RouteTraits(RouteName("redeem"), DESK, redeems, 0.29, 0.8, 1.5, repeatable=False)
    profile = RouteTraits(RouteName("profile"), DESK, 0.0, 0.055, 0.15, 0.6)
    return LoadPattern("budget", 16.0, services, [read, redeem, profile], list(disruptions))


def assert_within_budget(load: LoadPattern, seed: int) -> None:
    arrivals = ModelledSystem(load, seed).play().arrivals
    for service in (READS, DESK):
        fullest = arrivals.fullest(
            service,
            ratio=RETRY_SETTINGS.ratio,
            window=RETRY_SETTINGS.window,
            extra=RETRY_SETTINGS.extra,
        )
        assert fullest.beyond <= fullest.allowed, f"{service}: {fullest}"


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_do_not_raise_the_retry_budget(seed: int) -> None:
    load = pattern(
        Disruption(DisruptionKind.SHEDS, 2.0, 12.0, strength=0.85, service=DESK),
        Disruption(DisruptionKind.SHEDS, 2.0, 12.0, strength=0.85, service=READS),
        Disruption(DisruptionKind.BURST, 2.0, 12.0, strength=2.0),
    )
    assert_within_budget(load, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_starts_in_series_do_not_renew_the_retry_budget(seed: int) -> None:
    restarts = (
        Disruption(DisruptionKind.NODE_STARTS, at, 0.0, share=0.5) for at in DISRUPTION_TIMES
    )
    load = pattern(
        Disruption(DisruptionKind.SHEDS, 2.0, 12.0, strength=0.85, service=READS),
        *restarts,
        retries=0,
    )
    assert_within_budget(load, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_that_know_few_do_not_share_the_retry_budget_among_few(seed: int) -> None:
    load = pattern(
        Disruption(DisruptionKind.SHEDS, 2.0, 12.0, strength=0.85, service=READS),
        Disruption(DisruptionKind.NODE_STARTS, 1.0, 14.0),
        retries=0,
        reads=40.0,
    )
    assert_within_budget(load, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_of_repeats_stay_within_the_budget_of_the_service_that_is_called(seed: int) -> None:
    load = pattern(
        Disruption(DisruptionKind.SHEDS, 2.0, 12.0, strength=0.4, service=READS),
        redeems=4.0,
        call_share=1.0,
    )
    assert_within_budget(load, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_what_arrives_late_at_silent_nodes_stays_within_the_retry_budget(seed: int) -> None:
    silent_periods = (
        Disruption(DisruptionKind.SILENT, at, 0.5, share=0.5, service=READS)
        for at in DISRUPTION_TIMES
    )
    load = pattern(
        Disruption(DisruptionKind.SHEDS, 2.0, 12.0, strength=0.85, service=READS),
        *silent_periods,
        retries=0,
        reads=400.0,
        call_share=0.0,
    )
    assert_within_budget(load, seed)
