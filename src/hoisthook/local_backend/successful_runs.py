"""What an incarnation of the backend server beside has run to a good end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import WorkId

# At 40 requests a second beside a backend server, the last 25 s; work that comes seldomer is
# hardly ever under way when one ends.
MAX_WORKS = 1024


class SuccessfulRuns:
    """Remembers what ended well, so that an end is not held against work that is run all the time.

    Load pattern: all backend servers of a service end at once for a cause of their own while some
    work that many callers ask for runs in each of them.
    """

    def __init__(self) -> None:
        # In order, the last to have run well at the end.
        self._works: dict[WorkId, None] = {}

    def __contains__(self, work: WorkId) -> bool:
        return work in self._works

    def note(self, work: WorkId) -> None:
        """Note that some work has ended well."""
        self._works.pop(work, None)
        self._works[work] = None
        if len(self._works) > MAX_WORKS:
            del self._works[next(iter(self._works))]

    def forget(self) -> None:
        """Begin anew, as another incarnation does."""
        self._works.clear()
