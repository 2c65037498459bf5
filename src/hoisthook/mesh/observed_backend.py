"""What a node believes of the backend server beside it."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hoisthook.membership.backend_incarnation import BackendIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable

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
    born : int or None
        Unix milliseconds of its start; None if it does not say.
    """

    instance: InstanceId
    sequence: int
    draining: bool
    slots: int
    cold_seconds: float
    born: int | None = None

    @property
    def incarnation(self) -> BackendIncarnation:
        """Return which incarnation it speaks of."""
        return BackendIncarnation(self.instance, self.born)


@dataclass(frozen=True, slots=True)
class _Former:
    """An incarnation that is not the current one, and the state in which it was."""

    incarnation: BackendIncarnation
    state: BackendState


class ObservedBackend:
    """State, incarnation, load and recent failures; times on the node's clock.

    Parameters
    ----------
    log : EventLog
        Gets a line for each change of state or incarnation.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._former: dict[InstanceId, _Former] = {}
        self._current: BackendIncarnation | None = None
        self._on_replaced: list[Callable[[], None]] = []
        self._sequence = -1
        self._failed: deque[bool] = deque(maxlen=RECENT_ANSWERS)
        self._dropped_in_a_row = 0
        self._dropped_seconds = FIRST_DROPPED_SECONDS
        self.state = BackendState.UNKNOWN
        self.slots = 0
        self.closed_until = -math.inf

    @property
    def instance(self) -> InstanceId | None:
        """Return the id of the incarnation that is believed to answer; None if none is known."""
        return None if self._current is None else self._current.instance

    def on_replaced(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called when another incarnation has taken the place of one."""
        self._on_replaced.append(listener)

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

    def announced(self, announcement: Announcement) -> bool:
        """Take in an announcement; return whether it is newer than what is known.

        A later life under the same id begins anew: it counts its announcements from the start,
        and neither the drain nor the farewell of the one before binds it. What was said by the
        one before and arrives late changes nothing.
        """
        said = announcement.incarnation
        former = self._former.get(said.instance)
        if former is not None and not said.is_later_than(former.incarnation):
            return False
        current = self._current
        if current is None or said.instance != current.instance or said.is_later_than(current):
            self._replace(said, "announced")
        elif current.is_later_than(said) or announcement.sequence <= self._sequence:
            return False
        elif current.born is None:
            # Known by its answers before; they bear no time of birth.
            self._current = said
        self._sequence = announcement.sequence
        self.slots = announcement.slots
        state = BackendState.DRAINING if announcement.draining else BackendState.READY
        self._enter(state, sequence=announcement.sequence)
        return True

    def deregistered(self, incarnation: BackendIncarnation) -> None:
        """Note that an incarnation has left for good; a later one under its id has not."""
        current = self._current
        if current is not None and current.is_later_than(incarnation):
            return
        if current is None or current.instance == incarnation.instance:
            if incarnation.born is None and current is not None:
                incarnation = current
            self._current = incarnation
            self._enter(BackendState.GONE)
        self._remember(incarnation, BackendState.GONE)

    def answered_as(self, instance: InstanceId) -> None:
        """Note which incarnation answers at the address.

        One that answers is not former, whatever a late announcement of its predecessor made
        believe; it is in the state in which it was. Only a farewell is for good.
        """
        former = self._former.get(instance)
        state = BackendState.READY if former is None else former.state
        if instance != self.instance and state is not BackendState.GONE:
            known = BackendIncarnation(instance) if former is None else former.incarnation
            self._replace(known, "answered")
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

    def _replace(self, incarnation: BackendIncarnation, how: str) -> None:
        before = self._current
        if before is not None and before.instance != incarnation.instance:
            self._remember(before, self.state)
        self._former.pop(incarnation.instance, None)
        self._current = incarnation
        self._sequence = -1
        self._failed.clear()
        self._dropped_in_a_row = 0
        self._dropped_seconds = FIRST_DROPPED_SECONDS
        self.closed_until = -math.inf
        self._log.event(
            "backend_instance",
            instance=incarnation.instance,
            born=incarnation.born,
            before=None if before is None else before.instance,
            how=how,
        )
        for listener in self._on_replaced:
            listener()

    def _remember(self, incarnation: BackendIncarnation, state: BackendState) -> None:
        # A farewell is kept whatever follows from the same life.
        former = self._former.get(incarnation.instance)
        if former is not None and former.incarnation.is_later_than(incarnation):
            return
        is_final = former is not None and former.state is BackendState.GONE
        if former is None or not is_final or incarnation.is_later_than(former.incarnation):
            self._former[incarnation.instance] = _Former(incarnation, state)
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
