"""Logs exceptions that no code awaits as events instead of text on standard error."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import asyncio

    from hoisthook.port.event_log import EventLog

# Innermost frames of a traceback that are logged; they identify the failing line.
MAX_LOGGED_FRAMES = 4


def log_loop_errors(loop: asyncio.AbstractEventLoop, log: EventLog) -> None:
    """Make the loop log each exception of a task or callback that no code awaits."""

    def handle(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        log.event(
            "unhandled_error",
            reason=context.get("message", ""),
            error=repr(error),
            frames=_frames(error),
        )

    loop.set_exception_handler(handle)


def _frames(error: BaseException | None) -> list[str]:
    if error is None:
        return []
    frames = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]
    return [f"{frame.name}:{frame.lineno}" for frame in frames]
