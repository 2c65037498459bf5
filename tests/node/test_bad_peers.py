"""Hostile messages at the ports for peers, announcements and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
from grpclib.client import Channel
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.adapter.control_app import Announcement
from hoisthook.membership.member import Exchange
from hoisthook.node import node as node_module
from hoisthook.node.wire import AttemptHeader
from hoisthook.routing.load_view import LoadReport
from hoisthook.rpc import operator_pb2 as pb
from hoisthook.rpc.operator_grpc import OperatorStub

if TYPE_CHECKING:
    from tests.node.foreign_server import ForeignServer
    from tests.node.harness import System

BAD_BODIES = [b"", b"{", b"[]", b'{"sender":1}', b"\xff\xfe", b"1" * 100_000]


@pytest.mark.parametrize("body", BAD_BODIES)
@pytest.mark.parametrize("path", [b"/hoisthook/v1/exchange", b"/hoisthook/v1/configuration"])
async def test_malformed_peer_message_is_refused(system: System, path: bytes, body: bytes) -> None:
    address = system.node_by_name["a"].peers_address
    got = await system.call(address, "r", method=b"POST", target=path, body=body)
    assert got.status == 400
    assert msgspec.json.decode(got.body)["code"] == 1003
    assert (await system.call(system.node_by_name["a"].callers_address, "ok")).code == 0


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 0},
        {"slots": "many"},
        {"address": "nowhere"},
        {"backend_server": "../x"},
        {"load_path": "x"},
        {"colour": "red"},
    ],
)
async def test_malformed_announcement_is_refused(system: System, change: dict[str, object]) -> None:
    good = msgspec.to_builtins(Announcement("n", "svc", "127.0.0.1:1", 1))
    address = system.node_by_name["a"].announcements_address
    body = msgspec.json.encode(good | change)
    got = await system.call(
        address, "r", method=b"POST", target=b"/hoisthook/v1/announce", body=body
    )
    assert got.status == 400
    assert msgspec.json.decode(got.body)["code"] == 1003


async def test_second_backend_server_at_one_node_is_refused(system: System) -> None:
    assert not system.node_by_name["b1"].announced(Announcement("x", "svc", "127.0.0.1:1", 1))


@pytest.mark.parametrize(
    "value", [b"", b"1 2 3", b"s x t 0", b"s 1 t 99999999999999999999", b"\xff 1 t 1"]
)
async def test_malformed_attempt_is_refused(system: System, value: bytes) -> None:
    address = system.node_by_name["b1"].peers_address
    got = await system.call(address, "r", headers=[(b"hoisthook-attempt", value)])
    assert got.ran == "not-run"
    assert system.runs("r") == 0


async def test_attempt_for_another_incarnation_is_refused(system: System) -> None:
    header = AttemptHeader("s", 1, "gone", may_wait=False, repeatable=False, hedge=False)
    address = system.node_by_name["b1"].peers_address
    got = await system.call(address, "r", headers=[(b"hoisthook-attempt", header.encode())])
    assert got.code == 2008
    assert system.runs("r") == 0


async def test_answer_of_something_else_at_the_holders_address_is_not_forwarded(
    system: System, foreign_server: ForeignServer
) -> None:
    key = await system.issue_key("a")
    await system.relay_by_name["holder"].restart(upstream=foreign_server.address)
    address = system.node_by_name["c"].callers_address
    got = await system.call(address, "r", method=b"POST", key=key, body=b"5")
    assert (got.code, got.ran) == (3008, "unknown")
    assert b"foreign" not in got.body
    assert foreign_server.requests() == []


@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_answer_of_something_else_at_a_nodes_address_is_not_a_backend_servers(
    system: System, foreign_server: ForeignServer, method: bytes
) -> None:
    """An HTTP server of another program listens at the addresses of both target nodes."""
    key = await system.issue_key("a") if method == b"POST" else None
    for name in ("b1-hop", "b2-hop"):
        await system.relay_by_name[name].restart(upstream=foreign_server.address)
    address = system.node_by_name["a"].callers_address
    got = await system.call(address, "r", method=method, key=key)
    assert got.code > 0
    assert got.ran == "not-run"
    assert b"foreign" not in got.body
    assert foreign_server.requests() == []


async def test_answer_without_a_load_report_is_not_forwarded(
    system: System, foreign_server: ForeignServer
) -> None:
    """Every node adds its load to its answers."""
    foreign_server.stated_identity = system.node_by_name["b1"].incarnation
    await system.crash("b2")
    await system.relay_by_name["b1-hop"].restart(upstream=foreign_server.address)
    got = await system.call(system.node_by_name["a"].callers_address, "r")
    assert (got.code, got.ran) == (3009, "unknown")
    assert b"foreign" not in got.body


async def test_answer_without_a_result_at_the_holders_address_is_not_forwarded(
    system: System, foreign_server: ForeignServer
) -> None:
    """Every node adds a result to its answers to repeats."""
    key = await system.issue_key("a")
    foreign_server.stated_identity = system.node_by_name["a"].incarnation
    await system.relay_by_name["holder"].restart(upstream=foreign_server.address)
    address = system.node_by_name["c"].callers_address
    got = await system.call(address, "r", method=b"POST", key=key, body=b"5")
    assert len(foreign_server.requests()) == 1
    assert (got.code, got.ran) == (3008, "unknown")
    assert b"foreign" not in got.body


async def test_node_that_replaced_the_holder_at_its_address_gets_no_request(
    system: System,
) -> None:
    key = await system.issue_key("a")
    other = system.node_by_name["b1"].peers_address
    await system.relay_by_name["holder"].restart(upstream=other)
    address = system.node_by_name["c"].callers_address
    got = await system.call(address, "r", method=b"POST", key=key, body=b"5")
    assert (got.code, got.ran) == (3003, "unknown")
    assert system.runs("r") == 0


async def test_older_nodes_that_state_no_identity_are_served_and_serve(
    monkeypatch: pytest.MonkeyPatch, system: System
) -> None:
    """A node of an earlier version treats the question for its identity as an attempt."""
    monkeypatch.setattr(node_module, "IDENTITY_PATH", b"/unused")
    key = await system.issue_key("a")
    for ingress in ("a", "c"):
        address = system.node_by_name[ingress].callers_address
        assert (await system.call(address, f"safe-{ingress}")).code == 0
        assert (await system.call(address, "r", method=b"POST", key=key, body=b"5")).code == 0
    assert system.runs("r") == 1


async def test_replaced_older_node_gets_no_request(
    monkeypatch: pytest.MonkeyPatch, system: System
) -> None:
    monkeypatch.setattr(node_module, "IDENTITY_PATH", b"/unused")
    for name, other in (("b1", "c"), ("b2", "c")):
        upstream = system.node_by_name[other].peers_address
        await system.relay_by_name[f"{name}-hop"].restart(upstream=upstream)
    got = await system.call(system.node_by_name["a"].callers_address, "r")
    assert (got.code, got.ran) == (2008, "not-run")
    assert system.runs("r") == 0


async def test_operators_bad_value_gets_its_number(system: System) -> None:
    host, port = system.node_by_name["a"].operators_address
    channel = Channel(host, port)
    try:
        header = pb.ChangeHeader(operation_id="1")
        service = pb.Service(name="svc", timeout_ms=0)
        reply = await OperatorStub(channel).PutService(
            pb.PutServiceRequest(header=header, service=service)
        )
        assert (reply.code, reply.code_name) == (4004, "SPEC_INVALID")
        missing = await OperatorStub(channel).GetService(pb.GetServiceRequest(name="none"))
        assert missing.code == 4007
    finally:
        channel.close()


@given(st.binary(max_size=100))
def test_any_bytes_are_a_header_or_none(value: bytes) -> None:
    AttemptHeader.decode(value)
    LoadReport.decode(value)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_an_error(value: bytes) -> None:
    for kind in (Exchange, Announcement):
        with pytest.raises((msgspec.DecodeError, UnicodeDecodeError)):
            msgspec.json.decode(value, type=kind)
