"""Holds the set of data centres that operators have evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from hoisthook.identity import DataCentre
    from hoisthook.port.event_log import EventLog
    from hoisthook.traffic.configuration_holder import ConfigurationSource


class Evacuations:
    """The evacuated data centres, at a revision that never decreases.

    A revision is a position in the operators' log, ordered by era first: a node that has read the
    log up to there knows all earlier requests. Of two views the one with the higher revision
    therefore wins, whether it comes from the store or from a peer. Backend servers of an
    evacuated data centre get no new requests; those that they run are completed, and calls that
    they make go to other data centres.

    Parameters
    ----------
    log : EventLog
        Gets an event for each change.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._listeners: list[Callable[[], None]] = []
        self.revision = -1
        self.data_centres: frozenset[DataCentre] = frozenset()

    def __contains__(self, data_centre: DataCentre) -> bool:
        return data_centre in self.data_centres

    def on_change(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called on each change."""
        self._listeners.append(listener)

    def offer(
        self, revision: int, data_centres: Iterable[DataCentre], source: ConfigurationSource
    ) -> bool:
        """Accept a newer view unless it holds the same set; return whether it was accepted."""
        if revision <= self.revision:
            return False
        evacuated = frozenset(data_centres)
        if evacuated == self.data_centres and self.revision >= 0:
            # The same set at a later position in the log: peers need no update.
            return False
        is_change = evacuated != self.data_centres
        self.revision = revision
        self.data_centres = evacuated
        if is_change:
            self._log.event(
                "evacuations_changed",
                data_centres=sorted(evacuated),
                revision=revision,
                source=source.value,
            )
        for listener in self._listeners:
            listener()
        return True
