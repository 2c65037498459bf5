"""Backend servers that restart, also under the same id."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import InstanceId
from hoisthook.membership.backend_incarnation import BackendIncarnation
from hoisthook.mesh.announcement import Announcement
from hoisthook.mesh.incarnation_records import AnnouncementEffect
from hoisthook.mesh.incarnation_records import BackendState
from standin.published_configuration import RouteOptions
from tests.observed_backends import make_observed_backend

if TYPE_CHECKING:
    from standin.mesh_system import MeshSystem

SAME = InstanceId("same")
EARLIER, LATER = 1_700_000_000_000, 1_700_000_005_000


def announcement(born: int, sequence: int, *, draining: bool = False) -> Announcement:
    return Announcement(SAME, sequence, draining, slots=4, cold_seconds=0.0, born=born)


def test_drain_of_a_later_incarnation_applies_despite_a_lower_sequence() -> None:
    observed_backend = make_observed_backend()
    observed_backend.announced(announcement(EARLIER, 400))
    observed_backend.announced(announcement(LATER, 1))
    effect = observed_backend.announced(announcement(LATER, 2, draining=True))
    assert effect is AnnouncementEffect.APPLIED
    assert observed_backend.state is BackendState.DRAINING


def test_deregistration_of_an_earlier_incarnation_does_not_bind_a_later_one() -> None:
    observed_backend = make_observed_backend()
    observed_backend.announced(announcement(EARLIER, 400))
    observed_backend.deregistered(BackendIncarnation(SAME, EARLIER))
    observed_backend.announced(announcement(LATER, 1))
    assert observed_backend.takes_work


def test_late_messages_of_an_earlier_incarnation_are_ignored() -> None:
    observed_backend = make_observed_backend()
    observed_backend.announced(announcement(LATER, 1))
    effect = observed_backend.announced(announcement(EARLIER, 401, draining=True))
    assert effect is AnnouncementEffect.SUPERSEDED
    observed_backend.deregistered(BackendIncarnation(SAME, EARLIER))
    assert observed_backend.takes_work


def test_replacement_resets_the_observed_state() -> None:
    observed_backend = make_observed_backend()
    replaced: list[bool] = []
    observed_backend.on_replaced(lambda: replaced.append(True))
    observed_backend.announced(announcement(EARLIER, 400))
    for _ in range(10):
        observed_backend.answered(failed=True)
    observed_backend.unreachable(0.0, 100.0)
    observed_backend.announced(announcement(LATER, 1))
    assert observed_backend.failing == 0.0
    assert observed_backend.unavailable_until < 0.0
    assert len(replaced) == 2


@given(st.data())
def test_any_order_of_messages_ends_in_the_state_of_the_later_incarnation(
    data: st.DataObject,
) -> None:
    other = data.draw(st.sampled_from([SAME, InstanceId("other")]), label="id of the third")
    messages: list[Announcement | BackendIncarnation] = []
    for born in (EARLIER, LATER):
        count = data.draw(st.integers(1, 4))
        for sequence in range(1, count + 1):
            draining = data.draw(st.booleans())
            messages.append(announcement(born, sequence, draining=draining))
        if data.draw(st.booleans()):
            messages.append(BackendIncarnation(SAME, born))
    if other != SAME:
        # An incarnation under another id that has deregistered.
        messages.append(BackendIncarnation(other, EARLIER - 1))
    expected = _last_state(messages)
    observed_backend = make_observed_backend()
    for message in data.draw(st.permutations(messages)):
        if isinstance(message, Announcement):
            observed_backend.announced(message)
        else:
            observed_backend.deregistered(message)
    if other == SAME:
        assert observed_backend.instance == SAME
        assert observed_backend.state is expected


def _last_state(messages: list[Announcement | BackendIncarnation]) -> BackendState:
    if BackendIncarnation(SAME, LATER) in messages:
        return BackendState.GONE
    last = max(
        (m for m in messages if isinstance(m, Announcement) and m.born == LATER),
        key=lambda m: m.sequence,
    )
    return BackendState.DRAINING if last.draining else BackendState.READY


async def test_server_that_restarts_under_its_id_serves_and_drains(system: MeshSystem) -> None:
    ingress = await system.add("front")
    server = await system.add("shop", announced=False)
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    server.backend.restart(EARLIER)
    for _ in range(5):
        await server.send_heartbeat()
    await server.backend.deregister(server.endpoints.announcements_address)
    assert (await system.call(ingress))[0] == 503
    server.backend.restart(LATER)
    await server.send_heartbeat()
    async with asyncio.timeout(5.0):
        while (await system.call(ingress))[0] != 200:
            await asyncio.sleep(0.05)
    served = len(server.backend.arrivals)
    await server.send_heartbeat("draining")
    assert (await system.call(ingress))[0] == 503
    assert len(server.backend.arrivals) == served
