"""Identifies one incarnation of a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import InstanceId


@dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One run of a backend server process; a later incarnation may reuse the same id.

    Attributes
    ----------
    instance : InstanceId
        The id under which it serves.
    born : int or None
        Start time in Unix milliseconds as reported by the backend server; None if not reported.
    """

    instance: InstanceId
    born: int | None = None

    def is_later_than(self, other: BackendIncarnation) -> bool:
        """Return whether this is known to be a later incarnation under the same id."""
        if self.instance != other.instance or self.born is None or other.born is None:
            return False
        return self.born > other.born
