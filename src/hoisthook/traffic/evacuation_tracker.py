"""Derives the evacuated data centres from the records of the operators' log."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hoisthook.identity import DataCentre

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.port.record_store import KeyedRecord

# Records that a restored store has lost are written again within this time.
REWRITE_GRACE_SECONDS = 5.0


class EvacuationTracker:
    """Follows the records of evacuations, also where the store regresses to an older state.

    Load pattern: the store is restored from a copy that lacks the operators' latest requests. For
    `REWRITE_GRACE_SECONDS`, until the lost records have been written again, an evacuation that is
    no longer listed stays in force, and one that was ended is not started again by its old
    record. After that the listing holds as it is.

    Parameters
    ----------
    prefix : str
        Prefix of the keys that request an evacuation, followed by the data centre; empty if
        there are no evacuations.

    Attributes
    ----------
    data_centres : set of DataCentre
        The evacuated data centres.
    provisional_until : float
        End of the grace period, in seconds of the clock that gives ``now``.
    needs_listing : bool
        Whether ``data_centres`` rests on a listing made during the grace period, or on none since
        the store regressed. A listing after the grace period settles it.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._offset_by_data_centre: dict[DataCentre, int] = {}
        self.provisional_until = -math.inf
        self.data_centres: set[DataCentre] = set()
        self.needs_listing = False
        self._has_listing = False

    @property
    def has_begun(self) -> bool:
        """Whether a listing has been applied or the store has regressed."""
        return self._has_listing or self.needs_listing

    def store_regressed(self, now: float, seconds: float | None = None) -> None:
        """Treat listings as provisional.

        Parameters
        ----------
        now : float
            Present time, in seconds.
        seconds : float, optional
            What is left of the grace period; `REWRITE_GRACE_SECONDS` by default.
        """
        self.provisional_until = now + (REWRITE_GRACE_SECONDS if seconds is None else seconds)
        self.needs_listing = True

    def is_provisional(self, now: float) -> bool:
        """Return whether a listing may lack the operators' latest requests."""
        return now < self.provisional_until

    def resume_from(self, data_centres: Iterable[DataCentre]) -> None:
        """Take what is in force at this node as what a provisional listing keeps.

        Peers may have told of evacuations that this node has never read, or read before they ended.
        """
        self.data_centres = set(data_centres)

    def apply_listing(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply a listing, the newest record of each key that has not been removed."""
        listed = {data_centre: record for data_centre, record in self._evacuations_in(records)}
        if self.is_provisional(now):
            evacuated = set(self.data_centres)
            known = self._offset_by_data_centre
            evacuated.update(d for d, record in listed.items() if known.get(d) != record.offset)
            self.data_centres = evacuated
        else:
            self.data_centres = set(listed)
            self.needs_listing = False
        self._offset_by_data_centre.update((d, r.offset) for d, r in listed.items())
        self._has_listing = True

    def apply_changes(self, records: Iterable[KeyedRecord]) -> None:
        """Apply records in the order in which they were written."""
        for data_centre, record in self._evacuations_in(records):
            if record.value:
                self.data_centres.add(data_centre)
                self._offset_by_data_centre[data_centre] = record.offset
            else:
                self.data_centres.discard(data_centre)

    def _evacuations_in(
        self, records: Iterable[KeyedRecord]
    ) -> Iterable[tuple[DataCentre, KeyedRecord]]:
        if not self._prefix:
            return []
        return [
            (DataCentre(record.key.removeprefix(self._prefix)), record)
            for record in records
            if record.key.startswith(self._prefix)
        ]
