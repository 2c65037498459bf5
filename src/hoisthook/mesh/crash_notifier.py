"""Tells all nodes of a service which work has ended its backend servers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoisthook.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.port.clock import Clock

# Told at once; a node of a service with hundreds would else open as many connections together.
TOLD_TOGETHER = 16
# Who did not answer is told again, ever less often: one that was cut off has heard of it within
# this time of the cut's end.
FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
# A cut that lasts longer is mended by the readers of the data centre, see `PeerSync`.
TELLING_SECONDS = 120.0


class CrashNotifier:
    """Tells the nodes beside the service's other backend servers, until each has heard.

    Reports go straight to those who admit work for the service, rather than by way of the
    readers: the work is back within half a second, and four backend servers were ended in a row
    before a question to a reader would have come round.

    Parameters
    ----------
    directory : PeerDirectory
        Who they are.
    sync : PeerSync
        Tells them.
    clock : Clock
        Monotonic.
    """

    def __init__(self, directory: PeerDirectory, sync: PeerSync, clock: Clock) -> None:
        self._directory = directory
        self._sync = sync
        self._clock = clock
        self._tasks = BackgroundTasks()
        self._is_telling = False
        self._is_new = asyncio.Event()

    def tell(self) -> None:
        """Tell all; while that is under way, all once more."""
        self._is_new.set()
        if not self._is_telling:
            self._is_telling = True
            self._tasks.start(self._tell())

    def close(self) -> None:
        """Stop telling."""
        self._tasks.close()

    async def _tell(self) -> None:
        try:
            await self._tell_until_heard()
        finally:
            self._is_telling = False

    async def _tell_until_heard(self) -> None:
        left: list[PeerView] = []
        pause = FIRST_PAUSE_SECONDS
        until = self._clock.now() + TELLING_SECONDS
        while self._is_new.is_set() or (left and self._clock.now() < until):
            if self._is_new.is_set():
                self._is_new.clear()
                left = self._others()
                pause = FIRST_PAUSE_SECONDS
                until = self._clock.now() + TELLING_SECONDS
            left = await self._untold(left)
            if left:
                await self._wait_for_more(pause)
                pause = min(MAX_PAUSE_SECONDS, 2 * pause)

    async def _wait_for_more(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._is_new.wait()

    def _others(self) -> list[PeerView]:
        serving = self._directory.serving(self._directory.me.service)
        return [view for view in serving if not view.is_self]

    async def _untold(self, views: list[PeerView]) -> list[PeerView]:
        """Tell some nodes; return those that did not answer."""
        silent: list[PeerView] = []
        for start in range(0, len(views), TOLD_TOGETHER):
            together = views[start : start + TOLD_TOGETHER]
            tellings = [self._sync.tell_crashes(view.address) for view in together]
            heard = await asyncio.gather(*tellings)
            silent.extend(
                view for view, has_heard in zip(together, heard, strict=True) if not has_heard
            )
        return silent
