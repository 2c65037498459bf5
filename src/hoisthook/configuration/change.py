"""Records of the configuration stream."""

from __future__ import annotations

import msgspec

from hoisthook.configuration.service_spec import ServiceSpec

RECORD_VERSION = 1


class PutService(msgspec.Struct, frozen=True, tag="put-service", forbid_unknown_fields=True):
    """Create or replace a service."""

    spec: ServiceSpec

    @property
    def key(self) -> str:
        """Return the configuration key that the change applies to."""
        return f"service/{self.spec.name}"


class DeleteService(msgspec.Struct, frozen=True, tag="delete-service", forbid_unknown_fields=True):
    """Remove a service."""

    name: str

    @property
    def key(self) -> str:
        """Return the configuration key that the change applies to."""
        return f"service/{self.name}"


class SetDrain(msgspec.Struct, frozen=True, tag="set-drain", forbid_unknown_fields=True):
    """Start or end the drain of a backend server; a drained one gets no new requests."""

    backend_server: str
    drained: bool

    @property
    def key(self) -> str:
        """Return the configuration key that the change applies to."""
        return f"drain/{self.backend_server}"


class SetEvacuation(msgspec.Struct, frozen=True, tag="set-evacuation", forbid_unknown_fields=True):
    """Start or end the evacuation of a data centre; its backend servers get no new requests."""

    data_centre: str
    evacuated: bool

    @property
    def key(self) -> str:
        """Return the configuration key that the change applies to."""
        return f"evacuation/{self.data_centre}"


Change = PutService | DeleteService | SetDrain | SetEvacuation


class ChangeRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change by an operator, as appended to the log.

    Attributes
    ----------
    operation_id : str
        Id chosen by the operator; records with the same id are the same operation.
    base_revision : int
        Revision of the key that the change is based on; 0 where the key does not exist.
    change : Change
        The change itself.
    author : str
        Free text for the history.
    version : int
        Version of the record's format.
    """

    operation_id: str
    base_revision: int
    change: Change
    author: str = ""
    version: int = RECORD_VERSION

    @property
    def key(self) -> str:
        """Return the configuration key that the change applies to."""
        return self.change.key


def problem_of(record: ChangeRecord) -> str | None:
    """Return the first validation error of a record, or None."""
    if not record.operation_id or len(record.operation_id) > 128:
        return "operation_id: not 1 to 128 characters"
    if record.base_revision < 0:
        return "base_revision: must not be negative"
    if record.version != RECORD_VERSION:
        return f"version: {record.version} is not {RECORD_VERSION}"
    if isinstance(record.change, PutService):
        return record.change.spec.problem()
    return None
