"""A team is identified by its key, which the ingress node does not forward."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from standin.published_configuration import RouteOptions
from standin.published_configuration import TeamOptions

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

PORT = TeamOptions("port", ("port-old", "port-new"))
FERRY = TeamOptions("ferry ltd/é", ("ferry-key",))
ROUTES = (
    RouteOptions("shop"),
    RouteOptions("shop", prefix="/open/", public=True),
)


async def ingress_and_server(system: MeshSystem) -> tuple[Machine, Machine]:
    ingress = await system.add("front")
    server = await system.add("shop")
    system.introduce_all()
    system.publish(1, *ROUTES, teams=[PORT, FERRY])
    await system.until_configured(1)
    return ingress, server


@pytest.mark.parametrize("key", ["port-old", "port-new"])
async def test_backend_server_gets_the_teams_name_and_never_its_key(
    system: MeshSystem, key: str
) -> None:
    ingress, server = await ingress_and_server(system)
    status, _, _ = await system.call(ingress, key=key, more=[(b"x-tenant-name", b"ferry")])
    assert status == 200
    arrival = server.backend.arrivals[-1]
    assert arrival.headers[b"x-tenant-name"] == b"port"
    assert key.encode() not in b" ".join(arrival.headers.values())


async def test_a_name_with_spaces_and_letters_beyond_ascii_arrives(system: MeshSystem) -> None:
    ingress, server = await ingress_and_server(system)
    assert (await system.call(ingress, key="ferry-key"))[0] == 200
    assert server.backend.arrivals[-1].headers[b"x-tenant-name"].decode() == FERRY.name


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [(b"authorization", b"Bearer port-ol")],
        [(b"authorization", b"Bearer PORT-OLD")],
        [(b"authorization", b"port-old")],
        [(b"authorization", b"Basic port-old")],
        [(b"authorization", b"Bearer")],
        [(b"authorization", b"Bearer ")],
        [(b"authorization", b"Bearer port-old, Bearer ferry-key")],
        [(b"authorization", b"Bearer port-old"), (b"authorization", b"Bearer port-old")],
        [(b"authorization", b"Bearer port-old"), (b"Authorization", b"Bearer ferry-key")],
        [(b"proxy-authorization", b"Bearer port-old")],
        [(b"x-tenant-name", b"port")],
    ],
)
async def test_without_one_usable_key_nothing_runs(
    system: MeshSystem, headers: list[Header]
) -> None:
    ingress, server = await ingress_and_server(system)
    status, answered, _ = await system.call(ingress, more=headers)
    assert status == 401
    assert answered[b"www-authenticate"] == b"Bearer"
    assert server.backend.arrivals == []


async def test_scheme_may_be_written_in_any_case(system: MeshSystem) -> None:
    ingress, _ = await ingress_and_server(system)
    more = [(b"AUTHORIZATION", b"bEARER  port-old")]
    assert (await system.call(ingress, more=more))[0] == 200


async def test_public_route_needs_no_key_and_forwards_none(system: MeshSystem) -> None:
    ingress, server = await ingress_and_server(system)
    forged = [(b"x-tenant-name", b"ferry")]
    assert (await system.call(ingress, "/open/x", more=forged))[0] == 200
    assert (await system.call(ingress, "/open/x", key="nobody's", more=forged))[0] == 200
    assert (await system.call(ingress, "/open/x", key="port-old"))[0] == 200
    seen = [arrival.headers for arrival in server.backend.arrivals]
    assert [headers.get(b"x-tenant-name") for headers in seen] == [None, None, b"port"]
    assert not any(b"authorization" in headers for headers in seen)


async def test_removed_key_is_refused_and_the_new_one_accepted(
    system: MeshSystem,
) -> None:
    ingress, _ = await ingress_and_server(system)
    system.publish(2, *ROUTES, teams=[TeamOptions("port", ("port-new",)), FERRY])
    await system.until_configured(2)
    assert (await system.call(ingress, key="port-old"))[0] == 401
    assert (await system.call(ingress, key="port-new"))[0] == 200
    system.publish(3, *ROUTES, teams=[TeamOptions("port", ()), FERRY])
    await system.until_configured(3)
    assert (await system.call(ingress, key="port-new"))[0] == 401
    assert (await system.call(ingress, key="ferry-key"))[0] == 200


async def test_node_without_a_configuration_does_not_check_keys(system: MeshSystem) -> None:
    ingress = await system.add("front")
    assert (await system.call(ingress, key="port-old"))[0] == 503


async def test_faulty_team_is_logged_and_the_others_stay_in_force(system: MeshSystem) -> None:
    ingress = await system.add("front")
    await system.add("shop")
    system.introduce_all()
    conflicting = TeamOptions("thief", ("port-new", ""))
    system.publish(1, *ROUTES, teams=[PORT, FERRY, conflicting])
    await system.until_configured(1)
    assert (await system.call(ingress, key="port-new"))[0] == 401
    assert (await system.call(ingress, key="port-old"))[0] == 200
    unusable = system.log.named("team_key_unusable")
    assert {fields["code"] for fields in unusable} == {4011}
    assert {fields["team"] for fields in unusable} == {"port", "thief"}


async def test_credentials_are_forwarded_where_no_teams_are_configured(
    system: MeshSystem,
) -> None:
    ingress = await system.add("front")
    server = await system.add("shop")
    system.introduce_all()
    system.publish(1, *ROUTES)
    await system.until_configured(1)
    assert (await system.call(ingress, key="the application's own"))[0] == 200
    assert b"authorization" in server.backend.arrivals[-1].headers


async def test_no_log_line_contains_a_key(system: MeshSystem) -> None:
    ingress, _ = await ingress_and_server(system)
    await system.call(ingress, key="port-old")
    await system.call(ingress, key="a-key-of-nobody")
    text = repr(system.log.lines)
    assert "port-old" not in text
    assert "a-key-of-nobody" not in text
    refused = [f for f in system.log.named("answered") if f["code"] == 1015]
    assert refused[0]["key"]


async def test_a_trailer_adds_nothing_to_what_was_checked(system: MeshSystem) -> None:
    ingress, server = await ingress_and_server(system)
    head = (
        "POST /%s HTTP/1.1\r\nhost: a.example\r\nx-request-id: %s\r\nx-deadline-ms: 2000\r\n"
        "transfer-encoding: chunked\r\n%s\r\n1\r\na\r\n0\r\n%s\r\n"
    )
    # The second request queues behind the first, so its trailer is read before its head is checked.
    data = head % ("x", "t1", "authorization: Bearer port-old\r\n", "x-tenant-name: ferry\r\n")
    data += head % ("x", "t2", "", "authorization: Bearer port-old\r\n")
    host, port = ingress.node.callers_address
    reader, writer = await asyncio.open_connection(host, port, family=socket.AF_INET)
    writer.write(data.encode())
    first = await reader.readuntil(b"\r\n")
    assert b" 200 " in first
    await reader.readuntil(b"1015 TEAM_KEY_UNKNOWN")
    writer.close()
    assert [a.headers[b"x-tenant-name"] for a in server.backend.arrivals] == [b"port"]
