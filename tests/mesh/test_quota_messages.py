"""What a node cannot read of another's words about quotas is passed over and told of."""

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


def question(wanted: float, unused: object = ()) -> bytes:
    return msgspec.msgpack.encode(["port", [1.0, 1.0], wanted, unused, False, 0])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\x00",
        b"{}",
        msgspec.msgpack.encode(["port"]),
        question(float("nan")),
        question(float("inf")),
        question(-3.0),
        question(1.0, [["old", 0]]),
    ],
)
async def test_unreadable_question_is_refused_and_told_of(system: MeshSystem, data: bytes) -> None:
    node = (await system.add("shop")).node
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    pool = ClientPool()
    connection = await pool.acquire(node.peers_address, 1.0)
    answered = await exchange_buffered(
        connection, b"POST", QUOTA_PATH, [(b"host", b"n")], data, timeout=1.0
    )
    assert isinstance(answered, tuple)
    assert answered[0].status == 400
    assert [line["code"] for line in system.log.named("peer_message_unreadable")] == [4010]
    pool.close()
