"""A machine is suspended for a minute: work that was due before is not done after it resumes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standin.mesh_backend import Fault
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

    from standin.mesh_system import MeshSystem

SUSPENDED_SECONDS = 60.0


def suspender(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return a function that advances the clock of the running loop by a minute."""
    loop = asyncio.get_running_loop()
    loop_time = loop.time
    offset = [0.0]
    monkeypatch.setattr(loop, "time", lambda: loop_time() + offset[0])

    def suspend() -> None:
        offset[0] += SUSPENDED_SECONDS

    return suspend


async def test_request_queued_before_a_suspension_is_not_sent_after_it(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    suspend = suspender(monkeypatch)
    ingress = await system.add("front")
    shop = await system.add("shop", slots=1)
    system.introduce_all()
    system.publish(1, RouteOptions("shop", timeout=30.0, target=20.0))
    await system.until_configured(1)
    shop.backend.fault = Fault.HANG
    calls = [
        asyncio.create_task(system.call(ingress, "/x", deadline_ms=20_000, timeout=300.0))
        for _ in range(2)
    ]
    await until(lambda: shop.backend.running == 1 and shop.node.link.gate.waiting == 1)
    suspend()
    answers = await asyncio.gather(*calls)
    assert all(status in (503, 504) for status, _, _ in answers)
    assert len(shop.backend.arrivals) == 1
    shop.backend.fault = Fault.NONE
    assert await shop.beat() == 200
    await until(lambda: shop.node.link.gate.running == 0)
    status, _, _ = await system.call(ingress, "/x", deadline_ms=20_000, timeout=300.0)
    assert status == 200
