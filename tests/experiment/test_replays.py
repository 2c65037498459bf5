"""Load patterns simulated with and without the mechanism that handles them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.admission import admission_policy
from hoisthook.admission import priority_gate
from hoisthook.admission.pressure import Pressure
from hoisthook.admission.server_speed import ServerSpeed
from hoisthook.experiment.load_pattern import Disruption
from hoisthook.experiment.load_pattern import DisruptionKind
from hoisthook.experiment.load_pattern import LoadPattern
from hoisthook.experiment.load_pattern import RouteTraits
from hoisthook.experiment.load_pattern import ServerTraits
from hoisthook.experiment.load_pattern import ServiceTraits
from hoisthook.experiment.modelled_system import ModelledSystem
from hoisthook.experiment.virtual_loop import run_virtually
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.mesh import routed_dispatcher
from hoisthook.mesh.peer import MAX_BACKOFF_SECONDS
from hoisthook.mesh.peer import PeerView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.experiment.load_pattern import LoadResults

SHOP = ServiceName("shop")
SEEDS = (1, 2, 3)
# Results vary more between seeds if one server of four is faulty.
MANY_SEEDS = range(1, 9)


def pattern(*disruptions: Disruption, per_second: float, work: float = 0.2) -> LoadPattern:
    services = [ServiceTraits(SHOP, 4)]
    route = RouteTraits(RouteName("r"), SHOP, per_second, work, 2.7 * work, 6.0 * work)
    return LoadPattern("test", 10.0, services, [route], list(disruptions))


def simulate(load: LoadPattern, seeds: Iterable[int] = SEEDS) -> list[LoadResults]:
    return [ModelledSystem(load, seed).play() for seed in seeds]


def not_in_time(results_by_seed: list[LoadResults]) -> int:
    return sum(results.requests - results.in_time for results in results_by_seed)


def share(results_by_seed: list[LoadResults]) -> float:
    return sum(results.share for results in results_by_seed) / len(results_by_seed)


def test_same_seed_gives_the_same_results() -> None:
    load = pattern(per_second=60.0)
    first, second = (ModelledSystem(load, 7).play() for _ in range(2))
    assert first == second
    assert first.requests > 400


def test_virtual_loop_raises_if_no_timer_is_scheduled() -> None:
    async def wait_forever() -> None:
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="no timer is scheduled"):
        run_virtually(wait_forever())


def test_slow_periods_are_detected_before_requests_start_in_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = pattern(per_second=80.0)
    with_detection = simulate(load)
    monkeypatch.setattr(admission_policy, "MAX_BLIND_CHANCE", 1.0)
    without_detection = simulate(load)
    assert share(with_detection) > share(without_detection) + 0.02
    assert (
        sum(results.late for results in with_detection)
        < sum(results.late for results in without_detection) / 2
    )


def test_load_is_read_only_where_a_read_can_change_what_is_decided() -> None:
    tight = simulate(pattern(per_second=80.0))
    loose_route = RouteTraits(RouteName("r"), SHOP, 80.0, 0.02, 0.6, 1.2)
    load = LoadPattern("loose", 10.0, [ServiceTraits(SHOP, 4)], [loose_route])
    assert sum(results.reads for results in simulate(load)) < 0.05 * sum(
        results.reads for results in tight
    )


def test_slow_periods_are_waited_out_where_that_finishes_sooner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = pattern(per_second=160.0)
    waiting = simulate(load)
    monkeypatch.setattr(ServerSpeed, "is_worth_holding", lambda *_: False)
    starting = simulate(load)
    assert share(waiting) > share(starting) + 0.01


def test_unreported_slowdown_is_detected_by_the_speed_ratio(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = pattern(
        Disruption(DisruptionKind.DEGRADED, 2.0, 6.0, strength=3.0, share=0.25), per_second=60.0
    )
    with_speed_ratio = simulate(load, MANY_SEEDS)
    monkeypatch.setattr(ServerSpeed, "pace", lambda *_: 1.0)
    without_speed_ratio = simulate(load, MANY_SEEDS)
    assert share(with_speed_ratio) > share(without_speed_ratio) + 0.01
    assert not_in_time(with_speed_ratio) < 0.75 * not_in_time(without_speed_ratio)


def test_stalled_server_is_detected_by_its_overdue_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = pattern(
        Disruption(DisruptionKind.DEGRADED, 2.0, 6.0, strength=12.0, share=0.25), per_second=60.0
    )
    with_stall_detection = simulate(load, MANY_SEEDS)
    monkeypatch.setattr(priority_gate, "MIN_STALLED", 1_000_000)
    without_stall_detection = simulate(load, MANY_SEEDS)
    assert not_in_time(with_stall_detection) < 0.9 * not_in_time(without_stall_detection)


def test_restart_of_all_is_over_within_the_time_that_servers_are_cold() -> None:
    load = pattern(Disruption(DisruptionKind.RESTART, 2.0, 0.8), per_second=100.0)
    for results in simulate(load):
        later_seconds = range(7, 10)
        offered = sum(results.offered_by_second[second] for second in later_seconds)
        earned = sum(results.earned_by_second[second] for second in later_seconds)
        assert earned > 0.9 * offered


def test_late_requests_yield_in_a_lasting_overload(monkeypatch: pytest.MonkeyPatch) -> None:
    load = pattern(per_second=240.0)
    yielding = simulate(load)
    monkeypatch.setattr(Pressure, "yields", lambda *_: False)
    keeping = simulate(load)
    assert share(yielding) > share(keeping) + 0.03


def test_burst_is_served_or_refused_and_few_requests_reach_their_deadline() -> None:
    load = pattern(Disruption(DisruptionKind.BURST, 2.0, 3.0, strength=4.0), per_second=100.0)
    for results in simulate(load):
        assert results.refused > 0
        assert results.failed < 0.02 * results.requests
        assert results.in_time > 0.5 * results.requests


def back_off_without_suspicion(view: PeerView, now: float) -> float:
    """Close the peer for its backoff, then let requests try it again, without suspecting it."""
    seconds = view._backoff
    view.closed_until = now + seconds
    view._backoff = min(MAX_BACKOFF_SECONDS, seconds * 2)
    return seconds


def test_requests_are_not_used_to_probe_failed_nodes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that time out at dead nodes: six of twenty instances stay down."""
    services = [ServiceTraits(SHOP, 20)]
    route = RouteTraits(RouteName("r"), SHOP, 150.0, 0.1, 0.25, 1.0)
    gone = Disruption(DisruptionKind.GONE, 2.0, 60.0, share=0.3)
    load = LoadPattern("test", 20.0, services, [route], [gone])
    with_suspicion = simulate(load)
    monkeypatch.setattr(PeerView, "unreachable", back_off_without_suspicion)
    without_suspicion = simulate(load)
    assert share(with_suspicion) > share(without_suspicion) + 0.005
    assert not_in_time(with_suspicion) < not_in_time(without_suspicion) * 0.6


def test_recovered_nodes_get_requests_again() -> None:
    services = [ServiceTraits(SHOP, 4)]
    route = RouteTraits(RouteName("r"), SHOP, 60.0, 0.1, 0.4, 1.0)
    gone = Disruption(DisruptionKind.GONE, 1.0, 2.0, share=0.5)
    system = ModelledSystem(LoadPattern("test", 12.0, services, [route], [gone]), 1)
    results = system.play()
    late_seconds = [second for second in results.offered_by_second if second >= 8]
    earned = sum(results.earned_by_second[second] for second in late_seconds)
    assert earned > 0.97 * sum(results.offered_by_second[second] for second in late_seconds)
    views = [view for node in system.node_by_id.values() for view in node.directory.views()]
    assert not any(view.suspected for view in views)


def test_more_near_nodes_are_tried_before_a_request_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against waiting too early: of twelve near servers, every second rejects an attempt."""
    traits = ServerTraits(slots=5, queue=18, slow_factor=4.0, slow_seconds=0.3)
    route = RouteTraits(RouteName("r"), SHOP, 240.0, 0.25, 0.6, 1.5)
    load = LoadPattern("test", 10.0, [ServiceTraits(SHOP, 36, traits)], [route], [])
    many = simulate(load)
    monkeypatch.setattr(routed_dispatcher, "MAX_NEAR_TRIES", routed_dispatcher.MAX_DIRECT_TRIES)
    few = simulate(load)
    assert not_in_time(many) < 0.8 * not_in_time(few)
