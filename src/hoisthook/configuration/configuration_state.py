"""Configuration state, derived by applying the records of the configuration stream in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from hoisthook.configuration.change import ChangeRecord
from hoisthook.configuration.change import DeleteService
from hoisthook.configuration.change import PutService
from hoisthook.configuration.change import SetDrain
from hoisthook.configuration.change import SetEvacuation
from hoisthook.configuration.change import problem_of
from hoisthook.configuration.service_spec import ServiceSpec

if TYPE_CHECKING:
    from hoisthook.port.platform_log import LogRecord

HISTORY_LENGTH = 256


class Outcome(msgspec.Struct, frozen=True):
    """Result of applying one record.

    Attributes
    ----------
    offset : int
        The record's offset; an applied record's revision is its offset plus one.
    operation_id : str
        Id that the operator chose.
    key : str
        Key that the record changed or tried to change.
    applied : bool
        Whether the change took effect.
    winner : int
        The key's revision after the record.
    author : str
        Free text of the operator.
    """

    offset: int
    operation_id: str
    key: str
    applied: bool
    winner: int
    author: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """Complete state after the record at ``offset``."""

    offset: int
    services: tuple[ServiceSpec, ...]
    revision_by_key: dict[str, int]
    drained: tuple[str, ...]
    history: tuple[Outcome, ...]
    evacuated: tuple[str, ...] = ()


class ConfigurationState:
    """Applies records in the order of the log; equal prefixes of the log give equal states.

    A record takes effect only if its base revision is the key's current one. The first of
    two racing changes therefore wins on every node, and a record that is in the log twice
    takes effect once. A record that cannot be decoded changes nothing, on any node.
    """

    def __init__(self) -> None:
        self.offset = -1
        self.service_by_name: dict[str, ServiceSpec] = {}
        self.revision_by_key: dict[str, int] = {}
        self.drained: set[str] = set()
        self.evacuated: set[str] = set()
        self.history: list[Outcome] = []
        self.outcome_by_operation: dict[str, Outcome] = {}
        self.unreadable = 0

    @property
    def loaded(self) -> bool:
        """Return whether anything has been applied."""
        return self.offset >= 0

    def apply(self, record: LogRecord) -> Outcome | None:
        """Apply the record that follows the last one.

        Parameters
        ----------
        record : LogRecord
            Its offset must be that of the last record plus one; a record with a lower
            offset is skipped, as it was applied before.

        Returns
        -------
        Outcome or None
            None for a record that was skipped or cannot be decoded.

        Raises
        ------
        ValueError
            If records in between are missing.
        """
        if record.offset <= self.offset:
            return None
        if record.offset != self.offset + 1:
            raise ValueError(f"record {record.offset} does not follow {self.offset}")
        self.offset = record.offset
        change = decode_record(record.payload)
        if change is None:
            self.unreadable += 1
            return None
        return self._apply_change(record.offset, change)

    def snapshot(self) -> Snapshot:
        """Return the state as an immutable value."""
        return Snapshot(
            offset=self.offset,
            services=tuple(self.service_by_name[name] for name in sorted(self.service_by_name)),
            revision_by_key=dict(sorted(self.revision_by_key.items())),
            drained=tuple(sorted(self.drained)),
            history=tuple(self.history),
            evacuated=tuple(sorted(self.evacuated)),
        )

    def restore(self, snapshot: Snapshot) -> bool:
        """Replace the state by a snapshot if that is newer.

        Returns
        -------
        bool
            Whether the state was replaced; an older or equal snapshot is ignored.
        """
        if snapshot.offset <= self.offset:
            return False
        self.offset = snapshot.offset
        self.service_by_name = {spec.name: spec for spec in snapshot.services}
        self.revision_by_key = dict(snapshot.revision_by_key)
        self.drained = set(snapshot.drained)
        self.evacuated = set(snapshot.evacuated)
        self.history = list(snapshot.history)
        self.outcome_by_operation = {entry.operation_id: entry for entry in self.history}
        return True

    def _apply_change(self, offset: int, record: ChangeRecord) -> Outcome:
        known = self.outcome_by_operation.get(record.operation_id)
        if known is not None:
            return known
        current = self.revision_by_key.get(record.key, 0)
        applied = record.base_revision == current
        if applied:
            # Plus one, as offset 0 is valid but revision 0 means that the key does not exist.
            current = offset + 1
            self.revision_by_key[record.key] = current
            self._apply_effect(record)
        outcome = Outcome(
            offset, record.operation_id, record.key, applied, current, author=record.author
        )
        self._record_outcome(outcome)
        return outcome

    def _apply_effect(self, record: ChangeRecord) -> None:
        match record.change:
            case PutService(spec=spec):
                self.service_by_name[spec.name] = spec
            case DeleteService(name=name):
                self.service_by_name.pop(name, None)
            case SetDrain(backend_server=backend_server, drained=True):
                self.drained.add(backend_server)
            case SetDrain(backend_server=backend_server):
                self.drained.discard(backend_server)
            case SetEvacuation(data_centre=data_centre, evacuated=True):
                self.evacuated.add(data_centre)
            case SetEvacuation(data_centre=data_centre):
                self.evacuated.discard(data_centre)

    def _record_outcome(self, outcome: Outcome) -> None:
        self.history.append(outcome)
        self.outcome_by_operation[outcome.operation_id] = outcome
        if len(self.history) > HISTORY_LENGTH:
            oldest = self.history.pop(0)
            self.outcome_by_operation.pop(oldest.operation_id, None)


def decode_record(payload: bytes) -> ChangeRecord | None:
    """Return the decoded record, or None if it cannot be decoded or is invalid."""
    try:
        record = msgspec.json.decode(payload, type=ChangeRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if problem_of(record) is not None:
        return None
    return record
