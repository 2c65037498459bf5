"""Runs a node until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from hoisthook.adapter.http_log import HttpLog
from hoisthook.adapter.http_peers import HttpPeers
from hoisthook.adapter.json_log import stderr_log
from hoisthook.adapter.statsd_metrics import StatsdMetrics
from hoisthook.adapter.suspend_aware_loop import run
from hoisthook.exceptions import HoisthookError
from hoisthook.identity import parse_address
from hoisthook.node.loop_clock import LoopClock
from hoisthook.node.node import Node
from hoisthook.settings.settings_file import load_settings

if TYPE_CHECKING:
    import argparse

    from hoisthook.settings.node_settings import NodeSettings

EXIT_INTERRUPTED = 3
EXIT_ERROR = 2


class RunCommand:
    """``hoisthook run FILE``."""

    name = "run"
    description = "run a node; SIGTERM and SIGINT stop it gracefully"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("file", type=Path, help="settings file in TOML")

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command; the exit status is 3 if the shutdown interrupted requests.

        It is 2 if the node cannot start, and 0 if all requests in progress were completed.
        """
        return run(_run(load_settings(arguments.file)))


async def _run(settings: NodeSettings) -> int:
    decisions = stderr_log(settings.node.id, decisions=settings.logging.decisions)
    metrics = None
    if settings.metrics.statsd:
        metrics = StatsdMetrics(parse_address(settings.metrics.statsd), settings.metrics.prefix)
    node = Node(
        settings,
        log=HttpLog(parse_address(settings.log.address)),
        peers=HttpPeers(),
        decisions=decisions,
        clock=LoopClock(),
        metrics=metrics,
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    try:
        await node.start()
    except HoisthookError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_ERROR
    await stop.wait()
    completed = await node.close()
    return 0 if completed else EXIT_INTERRUPTED
