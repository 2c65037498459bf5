"""Notifies all nodes of a service of work that has crashed its backend servers."""

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

# Bounds the connections opened at once in a service of hundreds of nodes.
MAX_CONCURRENT_SENDS = 16
# Exponential backoff for nodes that did not answer. The upper limit is the time within which a
# partitioned node is notified after the partition ends.
FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
# After a longer partition a node gets the reports from the readers of its data centre, see
# `PeerSync`.
NOTIFY_TIMEOUT_SECONDS = 120.0


class CrashNotifier:
    """Sends crash reports to the other nodes of the service until each has acknowledged them.

    Reports go directly to the nodes that admit work for the service, not through the readers: the
    work comes back within half a second, and had crashed four backend servers in a row before the
    next poll of a reader.

    Parameters
    ----------
    directory : PeerDirectory
        Known nodes, among them those of the service.
    sync : PeerSync
        Sends the reports.
    clock : Clock
        Monotonic.
    """

    def __init__(self, directory: PeerDirectory, sync: PeerSync, clock: Clock) -> None:
        self._directory = directory
        self._sync = sync
        self._clock = clock
        self._tasks = BackgroundTasks()
        self._is_notifying = False
        self._has_changes = asyncio.Event()

    def notify(self) -> None:
        """Notify all nodes; a notification that is in progress starts again with all of them."""
        self._has_changes.set()
        if not self._is_notifying:
            self._is_notifying = True
            self._tasks.start(self._notify_all())

    def close(self) -> None:
        """Cancel notifications in progress."""
        self._tasks.close()

    async def _notify_all(self) -> None:
        try:
            await self._notify_until_acknowledged()
        finally:
            self._is_notifying = False

    async def _notify_until_acknowledged(self) -> None:
        pending: list[PeerView] = []
        pause = FIRST_PAUSE_SECONDS
        until = self._clock.now() + NOTIFY_TIMEOUT_SECONDS
        while self._has_changes.is_set() or (pending and self._clock.now() < until):
            if self._has_changes.is_set():
                self._has_changes.clear()
                pending = self._others()
                pause = FIRST_PAUSE_SECONDS
                until = self._clock.now() + NOTIFY_TIMEOUT_SECONDS
            pending = await self._send_reports(pending)
            if pending:
                await self._wait_for_changes(pause)
                pause = min(MAX_PAUSE_SECONDS, 2 * pause)

    async def _wait_for_changes(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._has_changes.wait()

    def _others(self) -> list[PeerView]:
        serving = self._directory.serving(self._directory.me.service)
        return [view for view in serving if not view.is_self]

    async def _send_reports(self, views: list[PeerView]) -> list[PeerView]:
        """Send the reports to some nodes; return those that did not acknowledge."""
        unacknowledged: list[PeerView] = []
        for start in range(0, len(views), MAX_CONCURRENT_SENDS):
            batch = views[start : start + MAX_CONCURRENT_SENDS]
            sends = [self._sync.send_crash_reports(view.address) for view in batch]
            acknowledgements = await asyncio.gather(*sends)
            unacknowledged.extend(
                view
                for view, is_acknowledged in zip(batch, acknowledgements, strict=True)
                if not is_acknowledged
            )
        return unacknowledged
