from __future__ import annotations

import asyncio
import contextlib
import gc
from typing import TYPE_CHECKING

from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.loop_errors import log_loop_errors
from standin.loopback_ports import HOST
from standin.mesh_system import ListLog

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange


async def test_handler_error_is_logged_and_its_caller_gets_no_answer() -> None:
    log = ListLog()
    log_loop_errors(asyncio.get_running_loop(), log)

    async def fail(exchange: ServerExchange) -> None:
        raise RuntimeError("unforeseen")

    server = CallServer((HOST, 0), fail)
    await server.start()
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    with contextlib.suppress(ConnectionResetError):
        assert await reader.read() == b""
    writer.close()
    server.abort()
    while not log.lines:
        gc.collect()
        await asyncio.sleep(0.005)
    (line,) = log.named("unhandled_error")
    assert line["error"] == "RuntimeError('unforeseen')"
    assert any(str(frame).startswith("fail:") for frame in line["frames"])  # type: ignore[attr-defined]


async def test_error_without_an_exception_is_logged() -> None:
    log = ListLog()
    loop = asyncio.get_running_loop()
    log_loop_errors(loop, log)
    loop.call_exception_handler({"message": "odd"})
    assert log.named("unhandled_error") == [{"reason": "odd", "error": "None", "frames": []}]
