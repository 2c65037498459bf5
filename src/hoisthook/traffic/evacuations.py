"""Which data centres operators have evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from hoisthook.identity import DataCentre
    from hoisthook.port.event_log import EventLog
    from hoisthook.traffic.configuration_holder import ConfigurationSource


class Evacuations:
    """The evacuated data centres, in revisions that never go back.

    A revision is a place in the operators' log, in one of its histories: whoever has read the log
    up to there knows all that was asked before, so of two views the one that reaches further
    holds, whichever way it came. Backend servers of an evacuated data centre get nothing; what
    they run goes on to its end, and their own calls go elsewhere.

    Parameters
    ----------
    log : EventLog
        Gets a line for each change.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._listeners: list[Callable[[], None]] = []
        self.revision = -1
        self.data_centres: frozenset[DataCentre] = frozenset()

    def __contains__(self, data_centre: DataCentre) -> bool:
        return data_centre in self.data_centres

    def on_change(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called with each change."""
        self._listeners.append(listener)

    def offer(
        self, revision: int, data_centres: Iterable[DataCentre], source: ConfigurationSource
    ) -> bool:
        """Take in a view unless what is known reaches as far; return whether it was taken."""
        if revision <= self.revision:
            return False
        wanted = frozenset(data_centres)
        if wanted == self.data_centres and self.revision >= 0:
            # The same at a later place in the log: nothing that others would have to be told.
            return False
        is_change = wanted != self.data_centres
        self.revision = revision
        self.data_centres = wanted
        if is_change:
            self._log.event(
                "evacuations_changed",
                data_centres=sorted(wanted),
                revision=revision,
                source=source.value,
            )
        for listener in self._listeners:
            listener()
        return True
