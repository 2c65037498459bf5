from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest_asyncio

from standin.loopback_ports import free_address
from standin.mesh_store import StoreStandin
from standin.published_configuration import configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PROGRAM = Path(__file__).parent.parent.parent / "platform" / "run_node.py"
SETTINGS = """
[node]
id = "node-1"
data_centre = "one"
service = "shop"
[listen]
callers = "{}"
peers = "{}"
readiness = "{}"
announcements = "{}"
[backend_server]
address = "{}"
[store]
address = "{}"
configuration_topic = "keyed.op"
configuration_key = "config"
nodes_topic = "keyed.nodes"
[shutdown]
grace_seconds = 4.0
"""


@pytest_asyncio.fixture
async def store() -> AsyncIterator[StoreStandin]:
    running = StoreStandin()
    await running.start()
    running.put("keyed.op", "config", configuration(1))
    yield running
    running.close()


def settings(store: StoreStandin) -> bytes:
    addresses = [free_address() for _ in range(5)]
    return SETTINGS.format(*addresses, f"127.0.0.1:{store.address[1]}").encode()


async def start(path: Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        *[sys.executable, str(PROGRAM)],
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "HOISTHOOK_BOOT": str(path)},
    )


async def line_with(process: asyncio.subprocess.Process, text: bytes) -> bytes:
    assert process.stdout is not None
    async with asyncio.timeout(20.0):
        while line := await process.stdout.readline():
            if text in line:
                return line
    raise AssertionError(f"ended without {text!r}")


async def test_reload_while_a_node_starts_does_not_end_it(
    store: StoreStandin, tmp_path: Path
) -> None:
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    process = await start(path)
    # Opening for writing returns once the node has opened its settings for reading.
    settings_writer = await asyncio.to_thread(path.open, "wb")
    process.send_signal(signal.SIGHUP)
    settings_writer.write(settings(store))
    settings_writer.close()
    await line_with(process, b'"started"')
    process.kill()
    await process.wait()


async def test_reload_of_a_running_node_is_logged_and_a_bad_file_changes_nothing(
    store: StoreStandin, tmp_path: Path
) -> None:
    path = tmp_path / "settings.toml"
    path.write_bytes(settings(store))
    process = await start(path)
    await line_with(process, b'"configuration_taken"')
    process.send_signal(signal.SIGHUP)
    assert b'"changed":false' in await line_with(process, b'"settings_read"')
    path.write_text("[node")
    process.send_signal(signal.SIGHUP)
    assert b"5002 SETTINGS_SYNTAX" in await line_with(process, b'"settings_refused"')
    process.terminate()
    assert b'"whole":true' in await line_with(process, b'"stopped"')
    assert await process.wait() == 0


def test_objects_loaded_at_start_are_frozen_for_the_collector() -> None:
    output = subprocess.run(
        [sys.executable, "-c", "import gc, run_node; print(gc.isenabled(), gc.get_freeze_count())"],
        cwd=PROGRAM.parent,
        check=True,
        capture_output=True,
        text=True,
    )
    is_enabled, frozen = output.stdout.split()
    assert is_enabled == "True"
    assert int(frozen) > 10_000
