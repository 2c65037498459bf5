"""The frame of a case: its record, its deployment, and what it exits with."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from review.second.deployment import Deployment
from review.second.record import Record

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
MAX_SECONDS = 110.0


def run_case(
    folder: Path, rule: str, play: Callable[[Deployment], Awaitable[int]], *events: str
) -> int:
    """Play a case and return its exit status; all processes have ended then.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets the record.
    rule : str
        Name of the rule.
    play : callable
        Plays the case on a deployment that is not started; returns how often the rule was broken.
    events : str
        Events in the log of the first node that are added to the record.
    """
    return asyncio.run(_run(folder, rule, play, events))


async def _run(
    folder: Path,
    rule: str,
    play: Callable[[Deployment], Awaitable[int]],
    events: tuple[str, ...],
) -> int:
    record = Record(folder / "record.txt")
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    deployment = Deployment(record)
    try:
        async with asyncio.timeout(MAX_SECONDS):
            broken = await play(deployment)
        for line in deployment.log_lines(deployment.machines[0], *events):
            record.line(line)
    except (OSError, TimeoutError, EOFError, asyncio.CancelledError) as error:
        record.say(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        await deployment.close()
    record.say(f"{rule} is broken" if broken else f"{rule} holds")
    return BROKEN if broken else HELD
