"""Polls of the nodes that read the store, by a node that does not read it itself."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from hoisthook.mesh.poll_progress import PollProgress

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.mesh.store_readers import StoreReaders
    from hoisthook.mesh.sync_messages import SyncReply
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness
    from hoisthook.port.event_log import EventLog
    from hoisthook.teams.key_lease import KeyLease
    from hoisthook.traffic.configuration_freshness import ConfigurationFreshness
    from hoisthook.traffic.configuration_holder import ConfigurationHolder

# How long a reader holds the poll of a node that does not read the store. It answers earlier if the
# configuration or an evacuation changes or has been confirmed; other changes are sent with the next
# reply.
POLL_HOLD_SECONDS = 0.6
# Pause between two polls, which limits their rate while changes follow one another. No poll is sent
# that would be given up sooner than that.
MIN_POLL_INTERVAL_SECONDS = 0.02
# After this number of unanswered polls in a row, a node reads the store itself.
MAX_UNANSWERED_POLLS = 3
# The same for polls of all readers at once by a node whose configuration may be out of date.
MAX_UNANSWERED_REFRESHES = 2
# After this number of them in a row without success, the node polls at the usual pace for a while:
# its readers answer and cannot do better.
MAX_REFRESHES = 3
# How long such a poll is held. A reader verifies its configuration meanwhile.
REFRESH_HOLD_SECONDS = 0.15
# A node without a configuration reads the store itself if no reader accepts a connection within
# this time. Polled one after another, unreachable readers delayed the last of 32 nodes by 0.25 s
# after a restart of all.
FIRST_ANSWER_TIMEOUT_SECONDS = 0.05
# Range of the random first turn, so that nodes start with different readers.
FIRST_TURN_RANGE = 1000


class ReaderPolls:
    """Polls the readers in turn, and all of them at once when their silence has lasted too long.

    Parameters
    ----------
    sync : PeerSync
        Sends the polls.
    readers : StoreReaders
        Notified of readers whose knowledge is out of date.
    holder : ConfigurationHolder
        Holds the configuration in force.
    freshness : ConfigurationFreshness
        Determines when the configuration may be out of date.
    lease : KeyLease
        Limits how long a poll may be held.
    replied : callable
        Called with each reader that replies, and its reply.
    clock : Clock
        Monotonic.
    randomness : Randomness
        Spreads the polls of many nodes over time.
    log : EventLog
        Receives an event whenever the configuration may be out of date.

    Attributes
    ----------
    unanswered : int
        Number of unanswered polls in a row.
    """

    def __init__(
        self,
        sync: PeerSync,
        readers: StoreReaders,
        holder: ConfigurationHolder,
        freshness: ConfigurationFreshness,
        lease: KeyLease,
        replied: Callable[[PeerView, SyncReply], None],
        clock: Clock,
        randomness: Randomness,
        log: EventLog,
    ) -> None:
        self._sync = sync
        self._readers = readers
        self._holder = holder
        self._freshness = freshness
        self._lease = lease
        self._replied = replied
        self._clock = clock
        self._randomness = randomness
        self._log = log
        self._poll_count = randomness.randrange(FIRST_TURN_RANGE)
        self._refreshes = 0
        self._no_refresh_until = -math.inf
        self._is_unreadable = False
        self.unanswered = 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether so many polls went unanswered that the store must be read."""
        return self.unanswered >= MAX_UNANSWERED_POLLS

    async def poll(self, readers: list[PeerView]) -> None:
        """Poll one of the readers, or all of them if the configuration may be out of date."""
        if self._refresh_at - self._clock.now() < MIN_POLL_INTERVAL_SECONDS:
            await self._refresh(readers)
            return
        self._refreshes = 0
        # In turn, so that reports that are sent twice reach two readers.
        self._poll_count += 1
        hold = POLL_HOLD_SECONDS * (0.75 + 0.5 * self._randomness.random())
        hold = min(hold, self._lease.longest_hold)
        answered = await self._poll_while_fresh(readers[self._poll_count % len(readers)], hold)
        if answered is None:
            return
        self.unanswered = 0 if answered else self.unanswered + 1
        if answered:
            seconds = POLL_HOLD_SECONDS if self._is_unreadable else MIN_POLL_INTERVAL_SECONDS
            await asyncio.sleep(seconds * (0.75 + 0.5 * self._randomness.random()))

    async def poll_all(self, readers: list[PeerView]) -> str | None:
        """Poll all readers at once; return why the store must be read, or None if one answered.

        Load pattern: many nodes start while machines are busy, so that running readers answer
        late. Each start that did not wait for them would add a read of the store in the second in
        which its load is highest.
        """
        progress = PollProgress()
        loop = asyncio.get_running_loop()
        polling = {
            loop.create_task(self._poll_one(reader, progress=progress)) for reader in readers
        }
        while polling:
            started_at = self._clock.now()
            is_connected = progress.connected.is_set()
            finished, polling = await asyncio.wait(
                polling,
                timeout=None if is_connected else FIRST_ANSWER_TIMEOUT_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(task.result() is not None for task in finished):
                return None
            # A timeout that includes a stall of this node's own event loop does not count.
            overrun = self._clock.now() - started_at - FIRST_ANSWER_TIMEOUT_SECONDS
            is_connected = progress.connected.is_set()
            if not finished and not is_connected and overrun < FIRST_ANSWER_TIMEOUT_SECONDS:
                break
        return "no reader answers" if progress.connected.is_set() else "no reader takes connections"

    @property
    def _refresh_at(self) -> float:
        return max(self._freshness.stale_at, self._no_refresh_until)

    async def _poll_while_fresh(self, reader: PeerView, hold: float) -> bool | None:
        """Poll a reader; return whether it answered, None if the configuration grew stale first.

        An answer that is arriving is awaited: a large configuration takes long on a narrow link,
        and requesting it again would only slow it down.
        """
        progress = PollProgress()
        poll = asyncio.get_running_loop().create_task(
            self._poll_one(reader, hold, progress=progress)
        )
        try:
            seconds = max(0.0, self._refresh_at - self._clock.now())
            await asyncio.wait((poll,), timeout=seconds)
            if not poll.done() and not progress.answering.is_set():
                return None
            return await poll is not None
        finally:
            poll.cancel()

    async def _refresh(self, readers: list[PeerView]) -> None:
        """Poll all readers at once on new connections, and exclude those that are out of date."""
        self._refreshes += 1
        age = self._freshness.age(self._clock.now())
        self._log.event(
            "configuration_stale",
            age=None if age is None else round(age, 2),
            have=self._holder.version,
            polled=[reader.peer.node for reader in readers],
        )
        replies = await asyncio.gather(
            *(self._poll_one(reader, REFRESH_HOLD_SECONDS, is_urgent=True) for reader in readers)
        )
        now = self._clock.now()
        if now < self._freshness.stale_at:
            self.unanswered = 0
            return
        for reader, reply in zip(readers, replies, strict=True):
            if reply is not None and self._readers.reads_store(reader):
                self._readers.note_store_rejection(reader)
        answers = [reply for reply in replies if reply is not None]
        if not answers:
            if self._refreshes >= MAX_UNANSWERED_REFRESHES:
                self.unanswered = MAX_UNANSWERED_POLLS
        elif any(reply.store_away for reply in answers) or self._refreshes >= MAX_REFRESHES:
            self._no_refresh_until = now + self._freshness.stale_seconds

    async def _poll_one(
        self,
        reader: PeerView,
        hold: float = 0.0,
        *,
        progress: PollProgress | None = None,
        is_urgent: bool = False,
    ) -> SyncReply | None:
        """Poll a reader, or a node that polls one; return its reply, None if it did not answer."""
        reply = await self._sync.poll(
            reader.address, wants_news=True, hold=hold, progress=progress, is_urgent=is_urgent
        )
        if reply is None:
            reader.unreachable(self._clock.now())
            return None
        reader.connected()
        delta = reply.configuration
        # A delta that cannot be applied would be sent again with the reply to each poll, without
        # any hold.
        self._is_unreadable = delta is not None and delta.version > self._holder.version
        self._replied(reader, reply)
        return reply
