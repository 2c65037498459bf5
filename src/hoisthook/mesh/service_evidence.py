"""Evidence for which service an incarnation at the backend server's address belongs to."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import InstanceId
    from hoisthook.port.clock import Clock

# Incarnations that are remembered; more than start at one address within a minute.
MAX_INCARNATIONS = 32


class EvidenceSource(Enum):
    """How the service of an incarnation became known.

    ``ANNOUNCED``: it names the service in an announcement of its own. ``SUCCEEDED``: it answered
    before the address of its predecessor could have been assigned to another service.
    ``RECORDED``: an earlier process of this node recorded one of these. ``FOREIGN``: it names
    another service.
    """

    ANNOUNCED = "announced"
    SUCCEEDED = "succeeded"
    RECORDED = "recorded"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence for the service of one incarnation.

    Attributes
    ----------
    source : EvidenceSource
        How the service became known.
    since : float
        When that was, in seconds on the clock of the evidence; for a successor, when its
        predecessor was last known to run.
    """

    source: EvidenceSource
    since: float

    @property
    def shows_service(self) -> bool:
        """Return whether the incarnation belongs to the service of this node."""
        return self.source is not EvidenceSource.FOREIGN


class ServiceEvidence:
    """Decides which incarnations are known to belong to the service of this node.

    An answer shows which incarnation runs at the address, but not its service: the platform may
    assign the address of a backend server that has exited to a server of another service. It does
    so only some time after the exit, so an incarnation that answers earlier belongs to the same
    service as its predecessor.

    Parameters
    ----------
    reuse_after : float
        Seconds after the exit of a backend server within which its address is not assigned to
        another service; 0 if not known.
    clock : Clock
        Monotonic; must not stand still while the machine is suspended.
    """

    def __init__(self, reuse_after: float, clock: Clock) -> None:
        self._reuse_after = reuse_after
        self._clock = clock
        self._evidence_by_instance: dict[InstanceId, Evidence] = {}
        self._alive_at = -math.inf

    def now(self) -> float:
        """Return the current time on the clock of the evidence, in seconds."""
        return self._clock.now()

    def of(self, instance: InstanceId) -> Evidence | None:
        """Return the evidence for an incarnation; None if its service is not known."""
        return self._evidence_by_instance.get(instance)

    def shows_service(self, instance: InstanceId) -> bool:
        """Return whether an incarnation is known to belong to the service of this node."""
        evidence = self.of(instance)
        return evidence is not None and evidence.shows_service

    @property
    def succession_seconds(self) -> float:
        """Return for how long an incarnation that answers still counts as a successor."""
        return max(0.0, self._alive_at + self._reuse_after - self._clock.now())

    def announced(self, instance: InstanceId) -> None:
        """Record that an incarnation has announced the service of this node."""
        self._record(instance, EvidenceSource.ANNOUNCED, self._clock.now())

    def announced_elsewhere(self, instance: InstanceId) -> None:
        """Record that an incarnation has announced another service."""
        self._record(instance, EvidenceSource.FOREIGN, self._clock.now())

    def recorded(self, instance: InstanceId) -> None:
        """Record that an earlier process of this node knew the service of an incarnation."""
        if self.of(instance) is None:
            self._record(instance, EvidenceSource.RECORDED, self._clock.now())

    def answered(self, instance: InstanceId, sent_at: float) -> None:
        """Record that an incarnation has answered an exchange.

        Parameters
        ----------
        instance : InstanceId
            The incarnation.
        sent_at : float
            Time before the request was sent. The incarnation ran at some time after that.
        """
        if self.of(instance) is None and self.succession_seconds > 0:
            self._record(instance, EvidenceSource.SUCCEEDED, self._alive_at)
        if self.shows_service(instance):
            self._alive_at = max(self._alive_at, sent_at)

    def _record(self, instance: InstanceId, source: EvidenceSource, since: float) -> None:
        self._evidence_by_instance.pop(instance, None)
        self._evidence_by_instance[instance] = Evidence(source, since)
        while len(self._evidence_by_instance) > MAX_INCARNATIONS:
            del self._evidence_by_instance[next(iter(self._evidence_by_instance))]
