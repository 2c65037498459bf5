"""Runs the play of a script and turns its result into an exit status."""

from __future__ import annotations

import asyncio
import os
import traceback
from typing import TYPE_CHECKING
from typing import Any

from common.platform import Platform
from common.platform import free_ports
from common.record import Record
from common.store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

    Play = Callable[[Platform, Store, Record, str], Awaitable[bool]]

LONGEST_SECONDS = 100
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Value of TROUBLE without the disruption, and with it.
NO_TROUBLE, TROUBLE = "0", "1"


def run(folder: Path, rule: str, play: Play, bounds: dict[str, Any] | None = None) -> int:
    """Play a case and end all its processes; return the exit status of the script.

    Parameters
    ----------
    folder : Path
        Folder of the case, for its record.
    rule : str
        Name of the rule that is checked.
    play : callable
        Awaited with the platform, the store, the record and the value of TROUBLE; returns whether
        the rule held.
    bounds : dict, optional
        Bounds of the settings besides the usual ones.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", TROUBLE)
    try:
        held = asyncio.run(_play(record, play, trouble, bounds))
    except (Exception, asyncio.CancelledError) as error:
        record.say("".join(traceback.format_exception(error)))
        record.say("the case could not run")
        return NOT_RUN
    record.say("the rule held" if held else f"the rule {rule} was broken")
    return HELD if held else BROKEN


async def _play(record: Record, play: Play, trouble: str, bounds: dict[str, Any] | None) -> bool:
    store = Store(free_ports(1)[0])
    platform = Platform(store.port, record, bounds)
    try:
        async with asyncio.timeout(LONGEST_SECONDS):
            await store.start()
            return await play(platform, store, record, trouble)
    finally:
        await platform.close()
        store.close()
