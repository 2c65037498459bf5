from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standin.published_configuration import MAX_BODY_BYTES
from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from standin.mesh_system import MeshSystem

HEAD = (
    b"POST /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\nexpect: 100-continue\r\n"
    b"content-length: %d\r\n\r\n"
)


async def test_announced_body_over_the_limit_is_refused_before_its_bytes(
    system: MeshSystem,
) -> None:
    """Guards against a body that is read up to its limit although it cannot be served."""
    machine = await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    reader, writer = await asyncio.open_connection(*machine.node.callers_address)
    writer.write(HEAD % (MAX_BODY_BYTES + 1))
    async with asyncio.timeout(10.0):
        answer = await reader.read()
    assert b" 413 " in answer
    assert b"1013 BODY_TOO_LARGE" in answer
    assert machine.backend.runs == []
    writer.close()
