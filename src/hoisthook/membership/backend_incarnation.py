"""Which incarnation of a backend server a message speaks of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import InstanceId


@dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One life of a backend server; a later one may bear the same id.

    Attributes
    ----------
    instance : InstanceId
        The id under which it serves.
    born : int or None
        Unix milliseconds of its start, as it says itself; None if it has not said so.
    """

    instance: InstanceId
    born: int | None = None

    def is_later_than(self, other: BackendIncarnation) -> bool:
        """Return whether it is known to be a later life under the same id."""
        if self.instance != other.instance or self.born is None or other.born is None:
            return False
        return self.born > other.born
