"""An announcement that arrives late changes nothing but what is known of its sender."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.identity import InstanceId
from hoisthook.mesh.announcement import Announcement
from hoisthook.mesh.incarnation_records import AnnouncementEffect
from hoisthook.mesh.incarnation_records import BackendState
from standin.mesh_backend import MeshBackendStandin
from tests.fakes import FakeClock
from tests.mesh.test_reused_address import ingress_and_shop
from tests.observed_backends import make_observed_backend
from tests.waiting import until

if TYPE_CHECKING:
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

LIVING, DEAD = InstanceId("living"), InstanceId("dead")
EARLIER, LATER = 1_700_000_000_000, 1_700_000_005_000


async def deliver_late(shop: Machine, state: str = "ready", sequence: int = 90) -> None:
    """Deliver a heartbeat of an incarnation that has ended before the node knew it."""
    dead = MeshBackendStandin("shop", "dead")
    try:
        address = shop.endpoints.announcements_address
        await dead.send_heartbeat(address, state=state, sequence=sequence)
    finally:
        dead.close()


async def until_asked(shop: Machine) -> None:
    """Wait until the node has asked which incarnation answers."""
    await until(lambda: not shop.node.link._confirming._tasks)


@pytest.mark.parametrize("has_born", [False, True])
@pytest.mark.parametrize("late_states", [["ready"], ["draining"], ["ready", "draining", "ready"]])
async def test_late_heartbeat_does_not_hide_the_drain_of_the_living_server(
    system: MeshSystem, late_states: list[str], *, has_born: bool
) -> None:
    """Guards against a server that is taken for a former one and gets work while it drains."""
    ingress, shop = await ingress_and_shop(system)
    shop.backend.born = LATER if has_born else None
    for number, state in enumerate(late_states):
        await deliver_late(shop, state, 90 + number)
    assert await shop.send_heartbeat("draining") == 200
    runs = len(shop.backend.runs)
    for _ in range(3):
        assert (await system.call(ingress, deadline_ms=400))[0] == 503
    await until_asked(shop)
    assert (await system.call(ingress, deadline_ms=400))[0] == 503
    assert len(shop.backend.runs) == runs


async def test_late_drain_does_not_take_the_living_server_out(system: MeshSystem) -> None:
    """Guards against a living server that gets nothing as a dead one has said that it drains."""
    ingress, shop = await ingress_and_shop(system)
    await deliver_late(shop, "draining")
    assert await shop.send_heartbeat() == 200
    assert (await system.call(ingress))[0] == 200
    await until_asked(shop)
    assert (await system.call(ingress))[0] == 200


async def test_living_server_that_deregisters_after_a_late_heartbeat_gets_nothing(
    system: MeshSystem,
) -> None:
    ingress, shop = await ingress_and_shop(system)
    await deliver_late(shop)
    assert await shop.backend.deregister(shop.endpoints.announcements_address) == 200
    runs = len(shop.backend.runs)
    await deliver_late(shop, sequence=91)
    await until_asked(shop)
    for _ in range(3):
        assert (await system.call(ingress, deadline_ms=400))[0] == 503
    assert len(shop.backend.runs) == runs


async def test_restarted_node_follows_the_server_that_answers(system: MeshSystem) -> None:
    ingress, shop = await ingress_and_shop(system)
    shop.crash()
    shop = await system.restart(shop)
    system.merge_all_peers()
    await system.until_configured(1)
    await until(lambda: shop.node.withdrawals.is_read)
    assert await shop.send_heartbeat() == 200
    await deliver_late(shop, "draining")
    async with asyncio.timeout(10.0):
        while (await system.call(ingress))[0] != 200:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("is_mute", [False, True])
async def test_successor_replaces_a_server_that_was_leaving(
    system: MeshSystem, *, is_mute: bool
) -> None:
    """Guards against a rule that follows answers only, where nothing is sent or answered."""
    ingress, shop = await ingress_and_shop(system)
    assert await shop.send_heartbeat("draining") == 200
    shop.backend.crash()
    shop.backend.is_mute = is_mute
    await shop.backend.start_as("successor")
    assert await shop.send_heartbeat() == 200
    async with asyncio.timeout(10.0):
        while (await system.call(ingress))[0] != 200:
            await asyncio.sleep(0.02)


async def test_statement_of_a_superseded_incarnation_is_not_acknowledged(
    system: MeshSystem,
) -> None:
    """Guards against an acknowledgement that its sender could take for a promise."""
    _, shop = await ingress_and_shop(system)
    shop.backend.restart(LATER)
    assert await shop.send_heartbeat() == 200
    shop.backend.restart(EARLIER)
    assert await shop.send_heartbeat("draining") == 503
    assert await shop.backend.deregister(shop.endpoints.announcements_address) == 503
    assert shop.node.link.observed_backend.takes_work
    assert len(system.log.named("announcement_superseded")) == 2


def announcement(
    instance: InstanceId, sequence: int, *, draining: bool = False, born: int | None = None
) -> Announcement:
    return Announcement(instance, sequence, draining, slots=4, cold_seconds=0.0, born=born)


def test_announcement_of_another_incarnation_is_confirmed_by_an_answer() -> None:
    clock = FakeClock()
    observed_backend = make_observed_backend(clock=clock)
    contradictions: list[InstanceId] = []
    observed_backend.on_contradicted(contradictions.append)
    observed_backend.announced(announcement(LIVING, 1))
    observed_backend.answered_as(LIVING, clock.now())
    assert observed_backend.announced(announcement(DEAD, 9)) is AnnouncementEffect.APPLIED
    assert contradictions == [DEAD]
    assert observed_backend.instance == LIVING
    clock.advance(0.1)
    observed_backend.answered_as(DEAD, clock.now())
    assert observed_backend.instance == DEAD
    assert observed_backend.takes_work


def test_without_an_answer_the_later_start_decides() -> None:
    observed_backend = make_observed_backend()
    observed_backend.announced(announcement(LIVING, 1, born=LATER))
    observed_backend.announced(announcement(DEAD, 9, born=EARLIER))
    assert observed_backend.instance == LIVING


def test_drain_of_a_former_incarnation_holds_when_it_answers() -> None:
    clock = FakeClock()
    observed_backend = make_observed_backend(clock=clock)
    observed_backend.announced(announcement(LIVING, 1))
    observed_backend.announced(announcement(DEAD, 9))
    assert observed_backend.instance == DEAD
    observed_backend.announced(announcement(LIVING, 2, draining=True))
    clock.advance(0.1)
    observed_backend.answered_as(LIVING, clock.now())
    assert observed_backend.state is BackendState.DRAINING
    assert [withdrawal.instance for withdrawal in observed_backend.withdrawals] == [LIVING]


def test_departure_that_is_told_before_any_id_holds_for_the_first_incarnation() -> None:
    """Guards against an answer without an id that is forgotten with the first announcement."""
    observed_backend = make_observed_backend()
    observed_backend.reported_leaving()
    observed_backend.announced(announcement(LIVING, 1))
    assert observed_backend.state is BackendState.DRAINING
    assert [withdrawal.instance for withdrawal in observed_backend.withdrawals] == [LIVING]
