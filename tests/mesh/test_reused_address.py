"""The address of a backend server goes to a server of another service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.identity import InstanceId
from hoisthook.mesh import registration
from hoisthook.mesh.announcement import Announcement
from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.incarnation_records import BackendState
from hoisthook.mesh.service_evidence import EvidenceSource
from hoisthook.node.call import Refused
from standin.mesh_backend import Fault
from standin.published_configuration import RouteOptions
from tests.fakes import FakeClock
from tests.mesh.test_first_answer import request
from tests.observed_backends import make_observed_backend
from tests.waiting import until

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

REUSE_AFTER = 2.0
OLD, NEW, THIRD = InstanceId("old"), InstanceId("new"), InstanceId("third")


async def ingress_and_shop(system: MeshSystem) -> tuple[Machine, Machine]:
    """Return an ingress node and a machine whose backend server has served a request."""
    ingress = await system.add("front")
    shop = await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    assert (await system.call(ingress))[0] == 200
    return ingress, shop


async def give_address_to_another_service(shop: Machine) -> None:
    """Replace the backend server of a machine by one of another service."""
    shop.backend.crash()
    shop.backend.service = "archive"
    await shop.backend.start_as("foreign")


async def requests_until_rejected(system: MeshSystem, ingress: Machine, shop: Machine) -> None:
    """Send requests until one has reached the new server, and some more."""
    before = len(shop.backend.arrivals)
    async with asyncio.timeout(10.0):
        while len(shop.backend.arrivals) == before:
            await system.call(ingress, deadline_ms=400)
    for _ in range(5):
        assert (await system.call(ingress, deadline_ms=400))[0] == 503


@pytest.mark.parametrize("sends_heartbeats", [False, True])
async def test_server_of_another_service_gets_no_requests(
    system: MeshSystem, *, sends_heartbeats: bool
) -> None:
    """Guards against requests that name an incarnation only because it answers at the address."""
    ingress, shop = await ingress_and_shop(system)
    await give_address_to_another_service(shop)
    runs = len(shop.backend.runs)
    if sends_heartbeats:
        assert await shop.send_heartbeat() == 400
    await requests_until_rejected(system, ingress, shop)
    if sends_heartbeats:
        assert await shop.send_heartbeat() == 400
        assert (await system.call(ingress, deadline_ms=400))[0] == 503
    assert len(shop.backend.runs) == runs


async def test_restarted_node_does_not_take_a_healthy_answer_for_the_service(
    system: MeshSystem,
) -> None:
    """Guards against a process without history that goes by the health check alone."""
    ingress, shop = await ingress_and_shop(system)
    await give_address_to_another_service(shop)
    runs = len(shop.backend.runs)
    shop.crash()
    shop = await system.restart(shop)
    system.merge_all_peers()
    await system.until_configured(1)
    await until(lambda: shop.node.withdrawals.is_read)
    for _ in range(5):
        assert (await system.call(ingress, deadline_ms=400))[0] == 503
    assert shop.node.link.observed_backend.state is BackendState.UNIDENTIFIED
    assert len(shop.backend.runs) == runs


async def test_late_heartbeat_of_the_former_server_does_not_vouch_for_the_next(
    system: MeshSystem,
) -> None:
    ingress, shop = await ingress_and_shop(system)
    await give_address_to_another_service(shop)
    runs = len(shop.backend.runs)
    await requests_until_rejected(system, ingress, shop)
    shop.backend.service, shop.backend.instance = "shop", "i-2"
    assert await shop.send_heartbeat() == 200
    shop.backend.service, shop.backend.instance = "archive", "foreign"
    for _ in range(5):
        assert (await system.call(ingress, deadline_ms=400))[0] == 503
    assert len(shop.backend.runs) == runs


async def test_server_of_the_first_service_is_used_when_it_is_back(system: MeshSystem) -> None:
    ingress, shop = await ingress_and_shop(system)
    await give_address_to_another_service(shop)
    await requests_until_rejected(system, ingress, shop)
    shop.backend.crash()
    shop.backend.service = "shop"
    await shop.backend.start_as("back")
    assert await shop.send_heartbeat() == 200
    async with asyncio.timeout(10.0):
        while (await system.call(ingress))[0] != 200:
            await asyncio.sleep(0.02)


async def test_admitted_request_is_not_sent_after_the_address_has_changed_hands(
    system: MeshSystem,
) -> None:
    """Guards against a request that is admitted for one server and sent to the next."""
    _, shop = await ingress_and_shop(system)
    arrivals = len(shop.backend.arrivals)
    observed_backend = shop.node.link.observed_backend

    async def replaced_meanwhile() -> None:
        observed_backend.answered_as(InstanceId("foreign"), observed_backend.evidence.now())

    outcome = await shop.node.link.run(request(), Admission.DIRECT, admitted=replaced_meanwhile)
    assert isinstance(outcome, Refused)
    assert len(shop.backend.arrivals) == arrivals


async def test_answer_of_the_next_server_does_not_rule_out_the_exit_of_the_former(
    system: MeshSystem,
) -> None:
    """Guards against crashes that count for no request, as the successor is up at once."""
    ingress, shop = await ingress_and_shop(system)
    shop.backend.fault = Fault.RESET
    assert (await system.call(ingress, request_id="lost"))[0] == 502
    shop.backend.fault = Fault.NONE
    shop.backend.instance = "successor"
    await system.call(ingress, deadline_ms=400)
    (ended,) = system.log.named("backend_ended")
    assert ended["how"] == "replaced"
    assert "lost" in ended["requests"]


def announcement(instance: InstanceId, sequence: int = 1) -> Announcement:
    return Announcement(instance, sequence, draining=False, slots=4, cold_seconds=0.0)


async def test_restarted_node_knows_the_service_of_a_server_that_goes_on_running(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait for the next announcement after each restart of a node."""
    monkeypatch.setattr(registration, "REREGISTRATION_SECONDS", 0.0)
    ingress, shop = await ingress_and_shop(system)
    await until(lambda: any(line["instance"] == "i-2" for line in system.log.named("registered")))
    ingress.crash()
    shop.crash()
    ingress = await system.restart(ingress)
    shop = await system.restart(shop)
    system.merge_all_peers()
    await system.until_configured(1)
    async with asyncio.timeout(10.0):
        while (await system.call(ingress))[0] != 200:
            await asyncio.sleep(0.02)
    evidence = shop.node.link.observed_backend.evidence.of(InstanceId("i-2"))
    assert evidence is not None
    assert evidence.source is EvidenceSource.RECORDED


async def test_silent_successor_is_identified_while_its_answer_shows_the_service(
    system: MeshSystem,
) -> None:
    """Guards against a restarted server that is used only once it has announced itself."""
    system.reuse_after_seconds = 60.0
    ingress, shop = await ingress_and_shop(system)
    shop.backend.crash()
    assert (await system.call(ingress, deadline_ms=400))[0] in (502, 503)
    await shop.backend.start_as("successor")
    # No request finds out: the probe does.
    link = shop.node.link
    await until(lambda: link.observed_backend.identified_instance == "successor")
    evidence = link.observed_backend.evidence.of(InstanceId("successor"))
    assert evidence is not None
    assert evidence.source is EvidenceSource.SUCCEEDED
    assert (await system.call(ingress))[0] == 200


async def test_nothing_is_probed_once_an_answer_shows_no_service(system: MeshSystem) -> None:
    ingress, shop = await ingress_and_shop(system)
    shop.backend.crash()
    assert (await system.call(ingress, deadline_ms=400))[0] in (502, 503)
    reads = shop.backend.health_reads
    await shop.backend.start_as("foreign")
    probe = shop.node.link._successor_probe
    probe.start()
    assert not probe._is_running
    assert shop.backend.health_reads == reads


async def test_recorded_incarnation_does_not_vouch_for_another_service(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(registration, "REREGISTRATION_SECONDS", 0.0)
    ingress, shop = await ingress_and_shop(system)
    await until(lambda: any(line["instance"] == "i-2" for line in system.log.named("registered")))
    await give_address_to_another_service(shop)
    runs = len(shop.backend.runs)
    shop.crash()
    shop = await system.restart(shop)
    system.merge_all_peers()
    await system.until_configured(1)
    await until(lambda: shop.node.link.observed_backend.evidence.of(InstanceId("i-2")) is not None)
    for _ in range(5):
        assert (await system.call(ingress, deadline_ms=400))[0] == 503
    assert len(shop.backend.runs) == runs


@pytest.mark.parametrize("is_withdrawn", [False, True])
async def test_incarnation_is_recorded_once(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch, *, is_withdrawn: bool
) -> None:
    """Guards against calls to the store for each announcement."""
    monkeypatch.setattr(registration, "REREGISTRATION_SECONDS", 0.0)
    _, shop = await ingress_and_shop(system)
    await until(lambda: any(line["instance"] == "i-2" for line in system.log.named("registered")))
    written = len(system.log.named("registered"))
    for _ in range(5):
        assert await shop.send_heartbeat("draining" if is_withdrawn else "ready") == 200
    assert len(system.log.named("registered")) == written


@pytest.mark.parametrize(
    ("reuse_after", "seconds", "state"),
    [
        (REUSE_AFTER, REUSE_AFTER - 0.1, BackendState.READY),
        (REUSE_AFTER, REUSE_AFTER, BackendState.UNIDENTIFIED),
        (0.0, 0.0, BackendState.UNIDENTIFIED),
    ],
)
def test_successor_is_one_that_answers_before_the_address_can_be_reassigned(
    reuse_after: float, seconds: float, state: BackendState
) -> None:
    clock = FakeClock()
    observed_backend = make_observed_backend(reuse_after=reuse_after, clock=clock)
    observed_backend.announced(announcement(OLD))
    sent_at = clock.now()
    # The answer arrives late; the server may have exited right after the request was sent.
    clock.advance(0.5)
    observed_backend.answered_as(OLD, sent_at)
    clock.advance(seconds - 0.5)
    observed_backend.answered_as(NEW, clock.now())
    assert observed_backend.instance == NEW
    assert observed_backend.state is state


def test_arrival_of_an_announcement_is_no_sign_that_its_sender_still_runs() -> None:
    clock = FakeClock()
    observed_backend = make_observed_backend(reuse_after=REUSE_AFTER, clock=clock)
    observed_backend.announced(announcement(OLD))
    observed_backend.answered_as(OLD, clock.now())
    clock.advance(REUSE_AFTER)
    observed_backend.announced(announcement(OLD, 2))
    observed_backend.answered_as(NEW, clock.now())
    assert not observed_backend.takes_work


def test_server_without_known_service_vouches_for_no_successor() -> None:
    clock = FakeClock()
    observed_backend = make_observed_backend(reuse_after=REUSE_AFTER, clock=clock)
    observed_backend.announced(announcement(OLD))
    observed_backend.answered_as(OLD, clock.now())
    clock.advance(REUSE_AFTER)
    observed_backend.answered_as(NEW, clock.now())
    observed_backend.answered_as(THIRD, clock.now())
    assert not observed_backend.takes_work
    observed_backend.announced(announcement(THIRD))
    assert observed_backend.takes_work


def test_announcement_of_another_service_overrides_the_succession() -> None:
    clock = FakeClock()
    observed_backend = make_observed_backend(reuse_after=REUSE_AFTER, clock=clock)
    observed_backend.announced(announcement(OLD))
    observed_backend.answered_as(OLD, clock.now())
    observed_backend.answered_as(NEW, clock.now())
    assert observed_backend.takes_work
    observed_backend.announced_elsewhere(NEW)
    assert observed_backend.state is BackendState.FOREIGN


def test_answer_in_transit_does_not_bring_the_former_incarnation_back() -> None:
    clock = FakeClock()
    observed_backend = make_observed_backend(reuse_after=REUSE_AFTER, clock=clock)
    observed_backend.announced(announcement(OLD))
    sent_at = clock.now()
    clock.advance(0.1)
    observed_backend.announced(announcement(NEW))
    observed_backend.answered_as(OLD, sent_at)
    assert observed_backend.instance == NEW
