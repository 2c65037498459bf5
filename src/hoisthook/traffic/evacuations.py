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
        """Accept a newer view; return whether it changes the set or is the first.

        A newer view with the same set counts as well: otherwise an older view with another set, as
        a peer that is behind may offer it, would be accepted after it.
        """
        if revision <= self.revision:
            return False
        evacuated = frozenset(data_centres)
        is_first = self.revision < 0
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
        if is_change or is_first:
            for listener in self._listeners:
                listener()
        return is_change or is_first
