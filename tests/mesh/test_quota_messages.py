"""Quota requests that cannot be decoded are refused and logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.mesh.team_quotas import QUOTA_PATH
from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from standin.mesh_system import MeshSystem


def quota_request(wanted: float, unused: object = ()) -> bytes:
    return msgspec.msgpack.encode(["port", [1.0, 1.0], wanted, unused, False, 0])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\x00",
        b"{}",
        msgspec.msgpack.encode(["port"]),
        quota_request(float("nan")),
        quota_request(float("inf")),
        quota_request(-3.0),
        quota_request(1.0, [["old", 0]]),
    ],
)
async def test_unreadable_quota_request_is_refused_and_logged(
    system: MeshSystem, data: bytes
) -> None:
    node = (await system.add("shop")).node
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    pool = ClientPool()
    connection = await pool.acquire(node.peers_address, 1.0)
    exchange_result = await exchange_buffered(
        connection, b"POST", QUOTA_PATH, [(b"host", b"n")], data, timeout=1.0
    )
    assert isinstance(exchange_result, tuple)
    assert exchange_result[0].status == 400
    assert [line["code"] for line in system.log.named("peer_message_unreadable")] == [4010]
    pool.close()
