"""A backend server that drops the connections of requests as soon as they are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.admission import work_times
from hoisthook.identity import InstanceId
from hoisthook.mesh import observed_backend
from standin.mesh_backend import Fault
from standin.mesh_system import ListLog
from standin.published_configuration import RouteOptions
from tests.observed_backends import make_observed_backend

if TYPE_CHECKING:
    import pytest

    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem


async def ingress_and_shop(system: MeshSystem) -> tuple[Machine, Machine]:
    ingress = await system.add("front")
    shop = await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop", safe=False, target=20.0, timeout=30.0))
    await system.until_configured(1)
    shop.backend.fault = Fault.RESET
    shop.backend.work_seconds = 0.0
    return ingress, shop


async def test_backend_server_that_drops_requests_is_sent_none_for_a_while(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(observed_backend, "INITIAL_DROPPED_BACKOFF_SECONDS", 600.0)
    monkeypatch.setattr(observed_backend, "MAX_DROPPED_BACKOFF_SECONDS", 600.0)
    ingress, shop = await ingress_and_shop(system)
    while (await system.call(ingress, method=b"POST"))[0] == 502:
        pass
    arrivals = len(shop.backend.arrivals)
    for _ in range(5):
        assert (await system.call(ingress, method=b"POST"))[0] == 503
    assert len(shop.backend.arrivals) == arrivals


async def test_backend_server_that_answers_in_between_gets_no_backoff(
    system: MeshSystem,
) -> None:
    ingress, shop = await ingress_and_shop(system)
    for _ in range(6):
        shop.backend.fault = Fault.RESET
        assert (await system.call(ingress, method=b"POST"))[0] == 502
        shop.backend.fault = Fault.NONE
        assert (await system.call(ingress, method=b"POST"))[0] == 200
    assert not system.log.named("backend_unreachable")


async def test_reset_of_an_idle_connection_drops_the_others_without_backoff(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    # No service times are learned, so that each reset comes early in the expected service time.
    monkeypatch.setattr(work_times, "WARM_COUNT", 100)
    ingress, shop = await ingress_and_shop(system)
    for _ in range(5):
        shop.backend.fault = Fault.NONE
        assert (await system.call(ingress, method=b"POST"))[0] == 200
        shop.backend.fault = Fault.RESET
        assert (await system.call(ingress, method=b"POST"))[0] == 502
        assert not shop.node.link._pool._idle_by_address
    assert not system.log.named("backend_unreachable")


def test_backoff_doubles_up_to_its_maximum_and_resets_after_an_answer() -> None:
    log = ListLog()
    observed_backend = make_observed_backend(log)
    observed_backend.answered_as(InstanceId("i-1"), observed_backend.evidence.now())
    now = 0.0
    for _ in range(7):
        observed_backend.dropped(now)
        now = max(now, observed_backend.unavailable_until)
    observed_backend.answered(failed=False)
    for _ in range(3):
        observed_backend.dropped(now)
        now = max(now, observed_backend.unavailable_until)
    backoffs = [line["closed_for"] for line in log.named("backend_unreachable")]
    assert backoffs == [0.15, 0.3, 0.6, 0.6, 0.6, 0.15]


def test_concurrent_requests_that_are_dropped_cause_one_backoff() -> None:
    log = ListLog()
    observed_backend = make_observed_backend(log)
    for _ in range(9):
        observed_backend.dropped(1.0)
    assert [line["closed_for"] for line in log.named("backend_unreachable")] == [0.15]
