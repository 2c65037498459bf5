"""A server that is no node, or another node, listens at the address of a node that has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from hoisthook.identity import NodeId
from hoisthook.identity import format_address
from hoisthook.mesh import mesh_node
from hoisthook.mesh.peer import Peer
from standin.published_configuration import RouteOptions
from tests.node.foreign_server import ForeignServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

ROUTE = RouteOptions("shop", target=20.0, timeout=60.0)
GONE = NodeId("gone")


@pytest_asyncio.fixture
async def foreign_server() -> AsyncIterator[ForeignServer]:
    server = ForeignServer()
    await server.start()
    yield server
    server.close()


async def ingress_that_knows(system: MeshSystem, address: tuple[str, int]) -> Machine:
    """Return an ingress node that has a node of the service at ``address`` in its directory."""
    ingress = await system.add("front")
    system.publish(1, ROUTE)
    await system.until_configured(1)
    me = ingress.node.directory.me
    ingress.node.directory.merge(
        [Peer(GONE, format_address(address), ROUTE.service, me.data_centre)], "test"
    )
    return ingress


@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_server_that_is_no_node_gets_no_request(
    system: MeshSystem, foreign_server: ForeignServer, method: bytes
) -> None:
    ingress = await ingress_that_knows(system, foreign_server.address)
    status, _, body = await system.call(ingress, method=method, body=b"5" * (method == b"POST"))
    assert status == 503
    assert b"foreign" not in body
    assert foreign_server.requests() == []
    assert GONE not in [peer.node for peer in ingress.node.directory.peers()]


@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_other_node_at_the_address_gets_no_request_meant_for_the_first(
    system: MeshSystem, method: bytes
) -> None:
    other = await system.add("shop", data_centre="two")
    ingress = await ingress_that_knows(system, other.node.peers_address)
    system.merge_all_peers()
    assert (await system.call(ingress, method=method))[0] == 200
    assert len(other.backend.runs) == 1
    (dropped,) = [line for line in system.log.named("peer_dropped") if line["peer"] == GONE]
    assert dropped["reason"] == "another node at its address"


@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_pooled_connection_to_a_server_that_is_no_node_gets_no_request(
    system: MeshSystem, foreign_server: ForeignServer, method: bytes
) -> None:
    ingress = await ingress_that_knows(system, foreign_server.address)
    assert await ingress.node.sync.poll(foreign_server.address) is None
    await system.call(ingress, method=method)
    assert [line for line in foreign_server.requests() if b"/hoisthook/peers" not in line] == []


@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_server_that_answers_nothing_gets_no_request_and_is_left_in_time(
    system: MeshSystem, foreign_server: ForeignServer, method: bytes
) -> None:
    foreign_server.is_silent = True
    ingress = await ingress_that_knows(system, foreign_server.address)
    node = await system.add("shop", data_centre="two")
    ingress.node.directory.merge([node.node.directory.me], "test")
    status, _, _ = await system.call(ingress, method=method, body=b"5" * (method == b"POST"))
    assert (status, len(node.backend.runs)) == (200, 1)
    assert foreign_server.requests() == []


@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_answer_without_a_load_report_is_not_forwarded(
    system: MeshSystem, foreign_server: ForeignServer, method: bytes
) -> None:
    """Every node adds its load to its answers."""
    foreign_server.stated_identity = GONE
    ingress = await ingress_that_knows(system, foreign_server.address)
    _, _, body = await system.call(ingress, method=method, body=b"5" * (method == b"POST"))
    assert len(foreign_server.requests()) == 1
    assert b"foreign" not in body
    (dropped,) = [line for line in system.log.named("peer_dropped") if line["peer"] == GONE]
    assert dropped["reason"] == "not a node"


@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_older_node_that_states_no_identity_is_served(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch, method: bytes
) -> None:
    """A node of an earlier version refuses the question as a malformed request."""
    monkeypatch.setattr(mesh_node, "IDENTITY_PATH", b"/unused")
    ingress = await system.add("front")
    server = await system.add("shop")
    system.merge_all_peers()
    system.publish(1, ROUTE)
    await system.until_configured(1)
    assert (await system.call(ingress, method=method, body=b"5" * (method == b"POST")))[0] == 200
    assert len(server.backend.runs) == 1
