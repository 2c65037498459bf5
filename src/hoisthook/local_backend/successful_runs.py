"""Work that the current incarnation of the local backend server has executed successfully."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import WorkId

# The last 25 s at 40 requests per second. Work that is requested less often is rarely in progress
# when a backend server exits.
MAX_WORKS = 1024


class SuccessfulRuns:
    """Bounded set of the work executed successfully, least recently successful evicted first.

    It keeps frequent work from being blamed for unrelated crashes: all backend servers of a
    service may exit at once for a reason of their own, while each of them executes the same work,
    which many callers ask for.
    """

    def __init__(self) -> None:
        # In order of the last success, the most recent at the end.
        self._works: dict[WorkId, None] = {}

    def __contains__(self, work: WorkId) -> bool:
        return work in self._works

    def add(self, work: WorkId) -> None:
        """Record that some work was executed successfully."""
        self._works.pop(work, None)
        self._works[work] = None
        if len(self._works) > MAX_WORKS:
            del self._works[next(iter(self._works))]

    def clear(self) -> None:
        """Remove all entries, as for a new incarnation."""
        self._works.clear()
