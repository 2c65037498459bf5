"""The deterministic fold of the configuration stream."""

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
    """What the fold made of one record.

    Attributes
    ----------
    offset : int
        The record's offset, and the new revision if it was applied.
    operation_id : str
        The operator's id.
    key : str
        What it changed or tried to.
    applied : bool
        Whether it won.
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
    """The fold's whole state after the record at ``offset``."""

    offset: int
    services: tuple[ServiceSpec, ...]
    revision_by_key: dict[str, int]
    drained: tuple[str, ...]
    history: tuple[Outcome, ...]
    evacuated: tuple[str, ...] = ()


class ConfigurationState:
    """Applies records in the order of the log; equal prefixes give equal states.

    A record takes effect only if its base revision is the key's current one, so
    the first of two racing changes wins everywhere, and a record that stands in
    the log twice takes effect once. A record that cannot be read counts as one
    that changes nothing, on every node alike.
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
            Its offset must be the last one's plus one; an earlier one is passed
            over, as it was applied before.

        Returns
        -------
        Outcome or None
            None for a record passed over or unreadable.

        Raises
        ------
        ValueError
            If records between are missing.
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
        """Return the state as a value."""
        return Snapshot(
            offset=self.offset,
            services=tuple(self.service_by_name[name] for name in sorted(self.service_by_name)),
            revision_by_key=dict(sorted(self.revision_by_key.items())),
            drained=tuple(sorted(self.drained)),
            history=tuple(self.history),
            evacuated=tuple(sorted(self.evacuated)),
        )

    def restore(self, snapshot: Snapshot) -> bool:
        """Take a snapshot if it is newer than the state.

        Returns
        -------
        bool
            Whether it was taken; an older or equal one never is.
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
            # Offset 0 is a valid record but 0 means "does not exist" as a revision.
            current = offset + 1
            self.revision_by_key[record.key] = current
            self._take_effect(record)
        outcome = Outcome(
            offset, record.operation_id, record.key, applied, current, author=record.author
        )
        self._remember(outcome)
        return outcome

    def _take_effect(self, record: ChangeRecord) -> None:
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

    def _remember(self, outcome: Outcome) -> None:
        self.history.append(outcome)
        self.outcome_by_operation[outcome.operation_id] = outcome
        if len(self.history) > HISTORY_LENGTH:
            oldest = self.history.pop(0)
            self.outcome_by_operation.pop(oldest.operation_id, None)


def decode_record(payload: bytes) -> ChangeRecord | None:
    """Return the record, or None if it is unreadable or breaks a rule."""
    try:
        record = msgspec.json.decode(payload, type=ChangeRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if problem_of(record) is not None:
        return None
    return record
