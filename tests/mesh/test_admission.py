"""Admission of requests at other nodes, among them nodes that are silent or drop requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.node_connections import IDENTITY
from hoisthook.adapter.http.node_connections import IDENTITY_PATH
from hoisthook.admission.demand import Demand
from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.mesh.peer import Peer
from hoisthook.settings.mesh_settings import MeshRetrySettings
from standin.loopback_ports import HOST
from standin.mesh_backend import Fault
from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

BODY = b"amount=5&" * 100
FAULTY_NODE = NodeId("odd")


class FaultyPeer:
    """A node that states its identity, and then stays silent, drops requests or answers the same.

    Attributes
    ----------
    node : NodeId
        Its identity.
    received : bytearray
        All bytes that were sent to it after the question for its identity.
    connections : int
        Number of connections opened to it.
    """

    def __init__(
        self, node: NodeId = FAULTY_NODE, *, answer: bytes = b"", drops: bool = False
    ) -> None:
        self.node = node
        self.received = bytearray()
        self.connections = 0
        self._answer = answer
        self._drops = drops
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while data := await reader.read(65536):
            if data.startswith(b"GET " + IDENTITY_PATH):
                writer.write(
                    b"HTTP/1.1 200 OK\r\n%b: %b\r\ncontent-length: 0\r\n\r\n"
                    % (IDENTITY, self.node.encode())
                )
                continue
            self.received += data
            if self._drops and b"\r\n\r\n" in self.received:
                writer.transport.abort()
                return
            if self._answer and data.startswith(b"POST"):
                writer.write(self._answer)
        writer.close()


@pytest.fixture
async def faulty_peers() -> AsyncIterator[list[FaultyPeer]]:
    peers: list[FaultyPeer] = []
    yield peers
    for peer in peers:
        peer.close()


async def ingress_with(
    system: MeshSystem, peers: list[FaultyPeer], faulty: FaultyPeer, *, safe: bool
) -> tuple[Machine, Machine]:
    """Return an ingress node whose nearest target is ``faulty``, and a healthy node far away."""
    peers.append(faulty)
    ingress = await system.add("front")
    healthy = await system.add("shop", data_centre="two")
    system.merge_all_peers()
    faulty_peer = Peer(faulty.node, await faulty.start(), ServiceName("shop"), DataCentre("one"))
    ingress.node.directory.merge([faulty_peer], "test")
    system.publish(1, RouteOptions("shop", safe=safe))
    await system.until_configured(1)
    return ingress, healthy


async def test_nonrepeatable_request_moves_from_a_silent_node_to_another(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    faulty = FaultyPeer()
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=False)
    status, _, body = await system.call(ingress, method=b"POST", body=BODY, request_id="once")
    assert (status, body) == (200, b"body of once")
    assert [run.body for run in healthy.backend.arrivals] == [BODY]
    assert faulty.received
    assert BODY not in faulty.received


async def test_nonrepeatable_request_moves_on_from_a_node_that_drops_it_unread(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    faulty = FaultyPeer(drops=True)
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=False)
    status, _, _ = await system.call(ingress, method=b"POST", body=BODY)
    assert status == 200
    assert len(healthy.backend.arrivals) == 1


async def test_request_without_a_body_is_held_back_too(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    faulty = FaultyPeer()
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=False)
    status, _, _ = await system.call(ingress, method=b"DELETE")
    assert status == 200
    assert len(healthy.backend.arrivals) == 1
    assert not faulty.received.endswith(b"0\r\n\r\n")


async def test_repeatable_request_moves_from_a_silent_node_to_another(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    faulty = FaultyPeer()
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=True)
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert len(healthy.backend.arrivals) == 1


@pytest.mark.parametrize("attempts", [1, 3])
async def test_loss_before_admission_spends_no_budget_and_no_attempt(
    system: MeshSystem, faulty_peers: list[FaultyPeer], attempts: int
) -> None:
    faulty = FaultyPeer(drops=True)
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=True)
    system.publish(2, RouteOptions("shop", attempts=attempts))
    await system.until_configured(2)
    status, _, _ = await system.call(ingress)
    assert status == 200
    assert len(healthy.backend.arrivals) == 1
    assert system.log.named("extra_try") == []


async def test_silence_spends_no_budget_where_the_silent_node_cannot_run_the_request(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    faulty = FaultyPeer()
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=True)
    system.publish(2, RouteOptions("shop", attempts=1))
    await system.until_configured(2)
    status, _, _ = await system.call(ingress, method=b"POST", body=BODY)
    assert status == 200
    assert BODY not in faulty.received
    assert len(healthy.backend.arrivals) == 1
    assert system.log.named("extra_try") == []


async def test_silence_is_charged_if_the_request_may_still_arrive(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    system.retry = MeshRetrySettings(extra=0.0)
    faulty = FaultyPeer()
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=True)
    system.publish(2, RouteOptions("shop", attempts=3))
    await system.until_configured(2)
    status, _, _ = await system.call(ingress)
    # Served although the budget is used up: such repeats may put the node over its budget.
    assert status == 200
    assert len(healthy.backend.arrivals) == 1
    (counted,) = system.log.named("extra_try")
    assert (counted["kind"], counted["granted"]) == ("unheard", True)
    assert counted["level"] == -1.0


async def test_silent_node_is_sent_no_complete_request_for_a_while(
    system: MeshSystem, faulty_peers: list[FaultyPeer], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hoisthook.mesh.peer.FIRST_BACKOFF_SECONDS", 0.0)
    faulty = FaultyPeer()
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=True)
    system.publish(2, RouteOptions("shop", attempts=3))
    await system.until_configured(2)
    assert (await system.call(ingress, method=b"POST", body=BODY))[0] == 200
    assert faulty.received.count(BODY) == 1
    (view,) = [v for v in ingress.node.directory.others() if v.peer.node == FAULTY_NODE]
    view.connected()
    view.closed_until = 0.0
    assert (await system.call(ingress, method=b"POST", body=BODY))[0] == 200
    assert faulty.received.count(b"POST /x ") == 2
    assert faulty.received.count(BODY) == 1
    assert len(healthy.backend.arrivals) == 2
    assert len(system.log.named("extra_try")) == 1


async def test_log_shows_a_loss_before_admission_and_the_possible_arrivals(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    faulty = FaultyPeer(drops=True)
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=True)
    healthy.backend.fault = Fault.SHED
    await system.call(ingress)
    assert [line["admitted"] for line in system.log.named("hop_lost")] == [False]
    (answered,) = system.log.named("answered")
    assert answered["arrived"] == 2


async def test_silence_leaves_time_for_another_node_within_the_target(
    system: MeshSystem, faulty_peers: list[FaultyPeer], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hoisthook.mesh.admitted_exchange.ADMISSION_SECONDS", 5.0)
    faulty = FaultyPeer()
    ingress, healthy = await ingress_with(system, faulty_peers, faulty, safe=True)
    system.publish(2, RouteOptions("shop", target=0.8, timeout=20.0))
    await system.until_configured(2)
    status, _, _ = await system.call(ingress, deadline_ms=20000)
    assert status == 200
    assert len(healthy.backend.arrivals) == 1


async def test_silent_node_is_left_alone_after_the_first_request(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    faulty = FaultyPeer()
    ingress, _ = await ingress_with(system, faulty_peers, faulty, safe=False)
    for _ in range(5):
        assert (await system.call(ingress, method=b"POST", body=BODY))[0] == 200
    assert faulty.connections == 1


async def test_refused_request_keeps_its_connection_and_sends_no_body(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    refusal = (
        b"HTTP/1.1 503 Full\r\nhoisthook-load: 4 0 4 100 0 2 0\r\nhoisthook-result: 2006\r\n"
        b"hoisthook-retry-after-ms: 1\r\ncontent-length: 0\r\n\r\n"
    )
    faulty = FaultyPeer(answer=refusal)
    ingress, _ = await ingress_with(system, faulty_peers, faulty, safe=False)
    for _ in range(3):
        assert (await system.call(ingress, method=b"POST", body=BODY))[0] == 200
        await asyncio.sleep(0.1)
    assert faulty.received.count(b"POST ") > 1
    assert faulty.received.count(b"POST ") == faulty.received.count(b"0\r\n\r\n")
    assert BODY not in faulty.received
    assert faulty.connections == 1


async def test_node_does_not_run_a_request_whose_sender_has_disconnected(
    system: MeshSystem,
) -> None:
    ingress = await system.add("front")
    server = await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    reader, writer = await asyncio.open_connection(*server.node.peers_address)
    writer.write(
        b"POST /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\nexpect: 100-continue\r\n"
        b"transfer-encoding: chunked\r\n"
        b"hoisthook-hop: shop front r-0 q d 1 2000 1000 0 f 0i 0\r\n\r\n"
    )
    assert (await reader.readline()).split()[1] == b"100"
    writer.transport.abort()
    while server.node.link.gate.running:
        await asyncio.sleep(0.005)
    assert server.backend.arrivals == []
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    assert (await system.call(ingress))[0] == 200


async def test_stalled_body_releases_its_slot(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hoisthook.mesh.hop_server.PIECE_SECONDS", 0.01)
    server = await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    reader, writer = await asyncio.open_connection(*server.node.peers_address)
    writer.write(
        b"POST /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\nexpect: 100-continue\r\n"
        b"transfer-encoding: chunked\r\n"
        b"hoisthook-hop: shop front r-0 q d 1 2000 1000 0 f 0i 0\r\n\r\n"
    )
    assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert await reader.read() == b""
    assert server.node.link.gate.running == 0
    assert server.backend.arrivals == []
    writer.close()


async def test_connection_of_a_refused_request_carries_the_next_one(system: MeshSystem) -> None:
    server = await system.add("shop", slots=1)
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    slot = await server.node.link.gate.enter(Demand(0, 1e9, 1e9, 0.1))
    assert slot is not None
    reader, writer = await asyncio.open_connection(*server.node.peers_address)
    head = (
        b"POST /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\nexpect: 100-continue\r\n"
        b"transfer-encoding: chunked\r\n"
        b"hoisthook-hop: shop front r-0 q d 1 2000 1000 0 f 0i 0\r\n\r\n"
    )
    writer.write(head)
    refusal = await reader.readuntil(b"\r\n\r\n")
    assert refusal.split()[1] == b"503"
    assert b"connection: close" not in refusal
    server.node.link.gate.leave(slot)
    writer.write(b"0\r\n\r\n" + head)
    assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"1\r\n5\r\n0\r\n\r\n")
    assert (await reader.readuntil(b"\r\n\r\n")).split()[1] == b"200"
    assert [arrival.body for arrival in server.backend.arrivals] == [b"5"]
    writer.close()


async def test_announced_queue_time_extends_the_admission_timeout(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hoisthook.mesh.admitted_exchange.MIN_ADMISSION_SECONDS", 0.05)
    monkeypatch.setattr("hoisthook.mesh.admitted_exchange.ADMISSION_SHARE_OF_TARGET", 0.0)
    ingress = await system.add("front")
    server = await system.add("shop", slots=1)
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop", target=2.0, timeout=20.0))
    await system.until_configured(1)
    server.backend.work_seconds = 0.4
    first = asyncio.create_task(system.call(ingress))
    async with asyncio.timeout(10.0):
        while not server.backend.running:
            await asyncio.sleep(0.001)
    # It is queued for eight times the admission timeout.
    assert (await system.call(ingress))[0] == 200
    assert (await first)[0] == 200
    assert not system.log.named("hop_lost")
    assert not system.log.named("hop_unheard")
    assert len(server.backend.arrivals) == 2


async def test_complete_request_is_sent_to_at_most_one_silent_node(
    system: MeshSystem, faulty_peers: list[FaultyPeer]
) -> None:
    """Guards against extra executions on links with a delay above the admission timeout.

    A request that is given up as unanswered still arrives at the node and may be executed there.
    """
    first, second = FaultyPeer(), FaultyPeer(NodeId("odd-2"))
    ingress, healthy = await ingress_with(system, faulty_peers, first, safe=True)
    faulty_peers.append(second)
    other = Peer(second.node, await second.start(), ServiceName("shop"), DataCentre("one"))
    ingress.node.directory.merge([other], "test")
    status, _, _ = await system.call(ingress, method=b"POST", body=BODY)
    assert status == 200
    assert len(healthy.backend.arrivals) == 1
    # Two attempts are allowed: the one at the healthy node, and one that may be executed late.
    assert [BODY in faulty.received for faulty in (first, second)].count(True) == 1
