"""Loads that a mechanism answers, replayed on virtual time with it and without it."""

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
# Where one server of four is at fault, the outcome varies more.
MANY_SEEDS = range(1, 9)


def pattern(*troubles: Disruption, per_second: float, work: float = 0.2) -> LoadPattern:
    services = [ServiceTraits(SHOP, 4)]
    route = RouteTraits(RouteName("r"), SHOP, per_second, work, 2.7 * work, 6.0 * work)
    return LoadPattern("test", 10.0, services, [route], list(troubles))


def played(load: LoadPattern, seeds: Iterable[int] = SEEDS) -> list[LoadResults]:
    return [ModelledSystem(load, seed).play() for seed in seeds]


def not_in_time(results_by_seed: list[LoadResults]) -> int:
    return sum(results.requests - results.in_time for results in results_by_seed)


def share(results_by_seed: list[LoadResults]) -> float:
    return sum(results.share for results in results_by_seed) / len(results_by_seed)


def test_a_seed_is_played_the_same_each_time() -> None:
    load = pattern(per_second=60.0)
    first, second = (ModelledSystem(load, 7).play() for _ in range(2))
    assert first == second
    assert first.requests > 400


def test_virtual_time_ends_where_nothing_will_happen() -> None:
    async def wait_for_ever() -> None:
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="will not happen"):
        run_virtually(wait_for_ever())


def test_slow_moments_are_known_before_work_starts_in_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = pattern(per_second=80.0)
    informed = played(load)
    monkeypatch.setattr(admission_policy, "MAX_BLIND_CHANCE", 1.0)
    blind = played(load)
    assert share(informed) > share(blind) + 0.02
    assert sum(t.late for t in informed) < sum(t.late for t in blind) / 2


def test_load_is_read_only_where_a_read_can_change_what_is_decided() -> None:
    tight = played(pattern(per_second=80.0))
    loose_route = RouteTraits(RouteName("r"), SHOP, 80.0, 0.02, 0.6, 1.2)
    load = LoadPattern("loose", 10.0, [ServiceTraits(SHOP, 4)], [loose_route])
    assert sum(t.reads for t in played(load)) < 0.05 * sum(t.reads for t in tight)


def test_slow_moments_are_waited_out_where_that_ends_sooner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = pattern(per_second=160.0)
    waiting = played(load)
    monkeypatch.setattr(ServerSpeed, "is_worth_holding", lambda *_: False)
    starting = played(load)
    assert share(waiting) > share(starting) + 0.01


def test_server_that_slows_down_unreported_is_known_by_its_pace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = pattern(
        Disruption(DisruptionKind.DEGRADED, 2.0, 6.0, strength=3.0, share=0.25), per_second=60.0
    )
    knowing = played(load, MANY_SEEDS)
    monkeypatch.setattr(ServerSpeed, "pace", lambda *_: 1.0)
    ignorant = played(load, MANY_SEEDS)
    assert share(knowing) > share(ignorant) + 0.01
    assert not_in_time(knowing) < 0.75 * not_in_time(ignorant)


def test_server_that_all_but_stops_is_found_by_its_overdue_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = pattern(
        Disruption(DisruptionKind.DEGRADED, 2.0, 6.0, strength=12.0, share=0.25), per_second=60.0
    )
    finding = played(load, MANY_SEEDS)
    monkeypatch.setattr(priority_gate, "MIN_STALLED", 1_000_000)
    waiting = played(load, MANY_SEEDS)
    assert not_in_time(finding) < 0.9 * not_in_time(waiting)


def test_restart_of_all_is_over_within_the_time_that_servers_are_cold() -> None:
    load = pattern(Disruption(DisruptionKind.RESTART, 2.0, 0.8), per_second=100.0)
    for results in played(load):
        after = range(7, 10)
        owed = sum(results.owed_by_second[second] for second in after)
        earned = sum(results.earned_by_second[second] for second in after)
        assert earned > 0.9 * owed


def test_late_requests_yield_in_a_lasting_overload(monkeypatch: pytest.MonkeyPatch) -> None:
    load = pattern(per_second=240.0)
    yielding = played(load)
    monkeypatch.setattr(Pressure, "yields", lambda *_: False)
    keeping = played(load)
    assert share(yielding) > share(keeping) + 0.03


def test_burst_is_served_or_refused_and_nobody_is_left_to_the_deadline() -> None:
    load = pattern(Disruption(DisruptionKind.BURST, 2.0, 3.0, strength=4.0), per_second=100.0)
    for results in played(load):
        assert results.refused > 0
        assert results.failed < 0.02 * results.requests
        assert results.in_time > 0.5 * results.requests


def forgets_suspicion(view: PeerView, now: float) -> float:
    """Leave the peer alone for a while, then send it requests again."""
    seconds = view._backoff
    view.closed_until = now + seconds
    view._backoff = min(MAX_BACKOFF_SECONDS, seconds * 2)
    return seconds


def test_requests_do_not_find_out_which_nodes_are_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Six of twenty instances are gone for good, as when a data centre lost power."""
    services = [ServiceTraits(SHOP, 20)]
    route = RouteTraits(RouteName("r"), SHOP, 150.0, 0.1, 0.25, 1.0)
    gone = Disruption(DisruptionKind.GONE, 2.0, 60.0, share=0.3)
    load = LoadPattern("test", 20.0, services, [route], [gone])
    suspecting = played(load)
    monkeypatch.setattr(PeerView, "unreachable", forgets_suspicion)
    trying = played(load)
    assert share(suspecting) > share(trying) + 0.005
    assert not_in_time(suspecting) < not_in_time(trying) * 0.6


def test_nodes_that_are_back_get_work_again() -> None:
    services = [ServiceTraits(SHOP, 4)]
    route = RouteTraits(RouteName("r"), SHOP, 60.0, 0.1, 0.4, 1.0)
    gone = Disruption(DisruptionKind.GONE, 1.0, 2.0, share=0.5)
    system = ModelledSystem(LoadPattern("test", 12.0, services, [route], [gone]), 1)
    results = system.play()
    late = [second for second in results.owed_by_second if second >= 8]
    earned = sum(results.earned_by_second[second] for second in late)
    assert earned > 0.97 * sum(results.owed_by_second[second] for second in late)
    views = [view for node in system.node_by_id.values() for view in node.directory.views()]
    assert not any(view.suspected for view in views)


def test_more_near_nodes_are_asked_before_a_request_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Twelve near servers of five slots, of which every second turns a try away."""
    traits = ServerTraits(slots=5, queue=18, slow_factor=4.0, slow_seconds=0.3)
    route = RouteTraits(RouteName("r"), SHOP, 240.0, 0.25, 0.6, 1.5)
    load = LoadPattern("test", 10.0, [ServiceTraits(SHOP, 36, traits)], [route], [])
    many = played(load)
    monkeypatch.setattr(routed_dispatcher, "MAX_NEAR_TRIES", routed_dispatcher.MAX_DIRECT_TRIES)
    few = played(load)
    assert not_in_time(many) < 0.8 * not_in_time(few)
