"""Which data centres the operators' log says are evacuated."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hoisthook.identity import DataCentre

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.port.record_store import KeyedRecord

# What was written in the seconds that a store has lost is written again within this.
REWRITE_GRACE_SECONDS = 5.0


class EvacuationTracker:
    """Follows the records of evacuations, also where the store comes back from an older copy.

    Load pattern: the copy lacks what operators asked for last. An evacuation that is not listed
    any more stays in force, and one that was taken back is not taken up again, until what was lost
    has been written again; then the list holds as it stands.

    Parameters
    ----------
    prefix : str
        Keys that begin so and go on with a data centre ask for its evacuation; empty for none.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._offset_by_data_centre: dict[DataCentre, int] = {}
        self._doubted_until = -math.inf
        self.data_centres: set[DataCentre] = set()

    def store_regressed(self, now: float) -> None:
        """Doubt what is listed for a while."""
        self._doubted_until = now + REWRITE_GRACE_SECONDS

    def is_provisional(self, now: float) -> bool:
        """Return whether what is listed may lack what was asked for last."""
        return now < self._doubted_until

    def apply_listing(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Take in the newest record of each key; one that was removed is not listed."""
        listed = {data_centre: record for data_centre, record in self._ours(records)}
        if self.is_provisional(now):
            kept = set(self.data_centres)
            known = self._offset_by_data_centre
            kept.update(d for d, record in listed.items() if known.get(d) != record.offset)
            self.data_centres = kept
        else:
            self.data_centres = set(listed)
        self._offset_by_data_centre.update((d, r.offset) for d, r in listed.items())

    def apply_changes(self, records: Iterable[KeyedRecord]) -> None:
        """Take in records in the order in which they were written."""
        for data_centre, record in self._ours(records):
            if record.value:
                self.data_centres.add(data_centre)
                self._offset_by_data_centre[data_centre] = record.offset
            else:
                self.data_centres.discard(data_centre)

    def _ours(self, records: Iterable[KeyedRecord]) -> Iterable[tuple[DataCentre, KeyedRecord]]:
        if not self._prefix:
            return []
        return [
            (DataCentre(record.key.removeprefix(self._prefix)), record)
            for record in records
            if record.key.startswith(self._prefix)
        ]
