"""Lifecycle state of one backend server as seen by its node."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from transitions import Machine

if TYPE_CHECKING:
    from hoisthook.port.clock import Randomness

COLD_SECONDS = 2.0
COLD_START_SHARE = 0.25
ANNOUNCEMENT_TTL_SECONDS = 3.0
# Number of recent answers from which the share of failures is taken.
FAILURE_WINDOW = 20
FAILURE_SHARE = 0.5
EJECT_SECONDS = 1.0
MAX_EJECT_SECONDS = 8.0
PROBATION_SUCCESSES = 5
PROBATION_SHARE = 0.1


class Phase(Enum):
    """Lifecycle phases of a backend server."""

    ABSENT = "absent"
    COLD = "cold"
    ACTIVE = "active"
    EJECTED = "ejected"
    PROBATION = "probation"
    DRAINING = "draining"


_TRANSITIONS = [
    {"trigger": "appear", "source": Phase.ABSENT, "dest": Phase.COLD},
    {"trigger": "warm_up", "source": Phase.COLD, "dest": Phase.ACTIVE},
    {
        "trigger": "eject",
        "source": [Phase.COLD, Phase.ACTIVE, Phase.PROBATION],
        "dest": Phase.EJECTED,
    },
    {"trigger": "try_again", "source": Phase.EJECTED, "dest": Phase.PROBATION},
    {"trigger": "recover", "source": Phase.PROBATION, "dest": Phase.ACTIVE},
    {
        "trigger": "drain",
        "source": [Phase.COLD, Phase.ACTIVE, Phase.EJECTED, Phase.PROBATION],
        "dest": Phase.DRAINING,
    },
    {"trigger": "undrain", "source": Phase.DRAINING, "dest": Phase.COLD},
    {"trigger": "lapse", "source": "*", "dest": Phase.ABSENT},
]


class BackendServerState:
    """Phase, failures and announcements of one backend server.

    A backend server is ejected when too large a share of its recent answers
    failed, however fast they came, so that one that fails fast does not attract
    requests. After the ejection it is on probation and gets only a small share
    of the requests, until enough of them succeed.

    Parameters
    ----------
    randomness : Randomness
        Selects the requests that are admitted on probation.
    """

    def __init__(self, randomness: Randomness) -> None:
        self._randomness = randomness
        self._machine = Machine(
            model=self,
            states=Phase,
            transitions=_TRANSITIONS,
            initial=Phase.ABSENT,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )
        self._phase_since = 0.0
        self._announced_at = 0.0
        self._recent: list[bool] = []
        self._eject_seconds = EJECT_SECONDS
        self._successes = 0

    @property
    def phase(self) -> Phase:
        """Return the current phase."""
        phase: Phase = self.state  # type: ignore[attr-defined]
        return phase

    def announced(self, now: float, *, draining: bool, uptime: float = 0.0) -> None:
        """Record an announcement of the backend server.

        Parameters
        ----------
        now : float
            Seconds on the node's clock.
        draining : bool
            Whether it is draining.
        uptime : float
            Seconds since the backend server started. Where only its node is new, the server is
            warm already and need not be ramped up.
        """
        self._announced_at = now
        if self.phase is Phase.ABSENT:
            self._enter("appear", now)
            self._phase_since = now - min(uptime, COLD_SECONDS)
            self.tick(now)
        if draining:
            self._enter("drain", now)
        elif self.phase is Phase.DRAINING:
            self._enter("undrain", now)

    def tick(self, now: float) -> None:
        """Apply the transitions that are due by ``now``."""
        if self.phase is Phase.ABSENT:
            return
        if now - self._announced_at > ANNOUNCEMENT_TTL_SECONDS:
            self._enter("lapse", now)
        elif self.phase is Phase.COLD and now - self._phase_since >= COLD_SECONDS:
            self._enter("warm_up", now)
        elif self.phase is Phase.EJECTED and now - self._phase_since >= self._eject_seconds:
            self._successes = 0
            self._enter("try_again", now)

    def answered(self, now: float, *, failed: bool) -> None:
        """Record the outcome of one request."""
        self._recent.append(failed)
        if len(self._recent) > FAILURE_WINDOW:
            self._recent.pop(0)
        if self.phase is Phase.PROBATION:
            self._judge_probation(now, failed=failed)
        elif self._fails_too_often():
            self._recent.clear()
            self._enter("eject", now)

    def admits_request(self, now: float) -> bool:
        """Return whether a new request is admitted in the current phase."""
        self.tick(now)
        if self.phase in (Phase.COLD, Phase.ACTIVE):
            return True
        if self.phase is Phase.PROBATION:
            return self._randomness.random() < PROBATION_SHARE
        return False

    def limit_of(self, slots: int, now: float) -> int:
        """Return how many of ``slots`` may be used, ramped up after a cold start."""
        if self.phase is not Phase.COLD:
            return slots
        progress = min(1.0, (now - self._phase_since) / COLD_SECONDS)
        share = COLD_START_SHARE + (1.0 - COLD_START_SHARE) * progress
        return max(1, int(slots * share))

    def _judge_probation(self, now: float, *, failed: bool) -> None:
        if failed:
            self._eject_seconds = min(MAX_EJECT_SECONDS, self._eject_seconds * 2)
            self._enter("eject", now)
            return
        self._successes += 1
        if self._successes >= PROBATION_SUCCESSES:
            self._eject_seconds = EJECT_SECONDS
            self._recent.clear()
            self._enter("recover", now)

    def _fails_too_often(self) -> bool:
        if len(self._recent) < FAILURE_WINDOW // 2:
            return False
        return sum(self._recent) >= FAILURE_SHARE * len(self._recent)

    def _enter(self, trigger: str, now: float) -> None:
        previous_phase = self.phase
        self.trigger(trigger)  # type: ignore[attr-defined]
        if self.phase is not previous_phase:
            self._phase_since = now
