"""Announcement of a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.membership.backend_incarnation import BackendIncarnation

if TYPE_CHECKING:
    from hoisthook.identity import InstanceId


@dataclass(frozen=True, slots=True)
class Announcement:
    """An announcement by which a backend server reports its state.

    Attributes
    ----------
    instance : InstanceId
        Id of its incarnation.
    sequence : int
        Sequence number, which increases with each announcement of an incarnation.
    draining : bool
        Whether it takes no new requests.
    slots : int
        Number of requests that it can run at once.
    cold_seconds : float
        Remaining seconds of its cold start, in which it is slow.
    born : int or None
        Unix milliseconds of its start; None if it does not report them.
    """

    instance: InstanceId
    sequence: int
    draining: bool
    slots: int
    cold_seconds: float
    born: int | None = None

    @property
    def incarnation(self) -> BackendIncarnation:
        """Return the incarnation that sent it."""
        return BackendIncarnation(self.instance, self.born)
