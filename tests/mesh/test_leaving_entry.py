"""A node that leaves cuts no request for the silence of the one that runs it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.adapter.http.server_exchange import ServerExchange
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    import pytest

    from standin.mesh_system import MeshSystem

# Beyond what is borne of a node while others can be asked.
SILENT_SECONDS = 0.4


async def test_entry_that_leaves_hears_out_a_node_whose_word_is_late(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The word that a request is admitted waits on a link that carries something else."""
    send_continue = ServerExchange.send_continue

    def late(exchange: ServerExchange) -> None:
        asyncio.get_running_loop().call_later(SILENT_SECONDS, send_continue, exchange)

    monkeypatch.setattr(ServerExchange, "send_continue", late)
    ingress = await system.add("front")
    server = await system.add("shop")
    system.introduce_all()
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
