"""What a node believes of the backend server beside it."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import InstanceId
    from hoisthook.port.backend_wire import BackendLoad
    from hoisthook.port.event_log import EventLog

# Former incarnations whose late announcements are told apart; more than live within a minute.
MAX_FORMER = 16
# Answers by which a failing backend server is recognised.
RECENT_ANSWERS = 12
# Below this many answers the failing share is not judged.
MIN_JUDGED_ANSWERS = 4
# Requests dropped in a row, each as soon as it was sent, after which nothing works there. One or
# two may fall to a connection that was idle or to a moment in which the server was full.
MAX_DROPPED_IN_A_ROW = 3
# How long it is left alone then, doubled up to the most while the first request after it is
# dropped too: a server that restarts is back within a second or so.
FIRST_DROPPED_SECONDS = 0.15
MAX_DROPPED_SECONDS = 0.6


class BackendState(Enum):
    """States of the backend server beside."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a backend server says of itself.

    Attributes
    ----------
    instance : InstanceId
        Its incarnation.
    sequence : int
        Rises with each announcement of an incarnation.
    draining : bool
        Whether it takes no new work.
    slots : int
        What it can run at once.
    cold_seconds : float
        How much longer it is slow after its start.
    """

    instance: InstanceId
    sequence: int
    draining: bool
    slots: int
    cold_seconds: float


class BackendBelief:
    """State, incarnation, load and recent failures; times on the node's clock.

    Parameters
    ----------
    log : EventLog
        Gets a line for each change of state or incarnation.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._former: dict[InstanceId, BackendState] = {}
        self._sequence = -1
        self._failed: deque[bool] = deque(maxlen=RECENT_ANSWERS)
        self._dropped_in_a_row = 0
        self._dropped_seconds = FIRST_DROPPED_SECONDS
        self.state = BackendState.UNKNOWN
        self.instance: InstanceId | None = None
        self.slots = 0
        self.closed_until = -math.inf
        self.cold_until = -math.inf

    @property
    def takes_work(self) -> bool:
        """Return whether new requests may be sent to it."""
        return self.state in (BackendState.UNKNOWN, BackendState.READY)

    @property
    def failing(self) -> float:
        """Return the share of recent answers that failed; 0 while there are few."""
        if len(self._failed) < MIN_JUDGED_ANSWERS:
            return 0.0
        return sum(self._failed) / len(self._failed)

    def announced(self, announcement: Announcement, now: float) -> None:
        """Take in an announcement unless it is older than what is known."""
        if announcement.instance in self._former:
            return
        if announcement.instance != self.instance:
            self._replace(announcement.instance, "announced")
        elif announcement.sequence <= self._sequence:
            return
        self._sequence = announcement.sequence
        self.slots = announcement.slots
        self.cold_until = now + announcement.cold_seconds
        state = BackendState.DRAINING if announcement.draining else BackendState.READY
        self._enter(state, sequence=announcement.sequence)

    def deregistered(self, instance: InstanceId) -> None:
        """Note that an incarnation has left for good."""
        self._remember(instance, BackendState.GONE)
        if self.instance in (None, instance):
            self.instance = instance
            self._enter(BackendState.GONE)

    def answered_as(self, instance: InstanceId) -> None:
        """Note which incarnation answers at the address.

        One that answers is not former, whatever a late announcement of its predecessor made
        believe; it is in the state in which it was. Only a farewell is for good.
        """
        state = self._former.get(instance, BackendState.READY)
        if instance != self.instance and state is not BackendState.GONE:
            self._replace(instance, "answered")
            self._former.pop(instance, None)
            self._enter(state)

    def refused_health(self) -> None:
        """Note that the backend server calls itself unhealthy before it was heard of."""
        if self.state is BackendState.UNKNOWN:
            self._enter(BackendState.DRAINING)

    def loaded(self, load: BackendLoad) -> None:
        """Take in how many slots a load report tells of."""
        if load.slots > 0:
            self.slots = load.slots

    def answered(self, *, failed: bool) -> None:
        """Note the outcome of one request that it worked on."""
        self._failed.append(failed)
        self._dropped_in_a_row = 0
        self._dropped_seconds = FIRST_DROPPED_SECONDS

    def dropped(self, now: float) -> None:
        """Note a request whose connection was dropped as soon as it was sent.

        After a few in a row it is left alone, so that requests are refused as not run
        rather than lost one after the other.
        """
        self._failed.append(True)
        if now < self.closed_until:
            return
        self._dropped_in_a_row += 1
        if self._dropped_in_a_row >= MAX_DROPPED_IN_A_ROW:
            self.unreachable(now, self._dropped_seconds)
            self._dropped_seconds = min(MAX_DROPPED_SECONDS, 2.0 * self._dropped_seconds)

    def unreachable(self, now: float, seconds: float) -> None:
        """Note that no connection could be opened; leave it alone for a while."""
        self.closed_until = now + seconds
        self._log.event("backend_unreachable", instance=self.instance, closed_for=seconds)

    def _replace(self, instance: InstanceId, how: str) -> None:
        before = self.instance
        if before is not None:
            self._remember(before, self.state)
        self.instance = instance
        self._sequence = -1
        self._failed.clear()
        self._dropped_in_a_row = 0
        self._dropped_seconds = FIRST_DROPPED_SECONDS
        self.closed_until = -math.inf
        self._log.event("backend_instance", instance=instance, before=before, how=how)

    def _remember(self, instance: InstanceId, state: BackendState) -> None:
        # A farewell is kept whatever follows.
        if self._former.get(instance) is not BackendState.GONE:
            self._former[instance] = state
        while len(self._former) > MAX_FORMER:
            del self._former[next(iter(self._former))]

    def _enter(self, state: BackendState, **fields: object) -> None:
        if state is self.state:
            return
        before = self.state
        self.state = state
        self._log.event(
            "backend_state",
            instance=self.instance,
            before=before.value,
            state=state.value,
            **fields,
        )
