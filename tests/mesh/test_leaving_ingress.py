"""Guards against a stopping node that gives up requests at a slow node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.server_exchange import ServerExchange
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    import pytest

    from standin.mesh_system import MeshSystem

# Longer than a node may stay silent while another node can be tried.
SILENT_SECONDS = 0.4


async def test_stopping_ingress_awaits_a_late_admission(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The message that a request is admitted is delayed, as by other traffic on a slow link."""
    send_continue = ServerExchange.send_continue

    def delayed_go_ahead(exchange: ServerExchange) -> None:
        asyncio.get_running_loop().call_later(SILENT_SECONDS, send_continue, exchange)

    monkeypatch.setattr(ServerExchange, "send_continue", delayed_go_ahead)
    ingress = await system.add("front")
    server = await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop", target=0.3))
    await system.until_configured(1)
    server.backend.work_seconds = 2 * SILENT_SECONDS
    closing = asyncio.create_task(ingress.node.close())
    await until(lambda: ingress.node.stopping)
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert len(server.backend.runs) == 1
    assert server.backend.cancelled == []
    await closing
