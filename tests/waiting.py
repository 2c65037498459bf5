"""Polls for a condition that another task brings about."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_SECONDS = 0.005


async def until(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not hold within ``seconds``.
    """
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)
