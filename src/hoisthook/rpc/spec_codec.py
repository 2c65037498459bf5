"""Conversion of service specifications to and from messages of the operators' interface."""

from __future__ import annotations

from hoisthook.configuration.service_spec import OperationSpec
from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.rpc import operator_pb2 as pb

_OPTIONAL_FIELDS = (
    "timeout_ms",
    "concurrency_limit",
    "concurrency_per_backend_server",
    "queue_per_backend_server",
    "retry_percent",
    "hedge",
    "measure_per_second",
)


def spec_from_message(message: pb.Service) -> ServiceSpec:
    """Return the specification of a message; absent fields get their defaults."""
    operations = tuple(
        OperationSpec(o.method, o.path_prefix, o.repeatable) for o in message.operations
    )
    present_fields = {
        name: getattr(message, name) for name in _OPTIONAL_FIELDS if message.HasField(name)
    }
    return ServiceSpec(message.name, operations, **present_fields)


def spec_to_message(spec: ServiceSpec) -> pb.Service:
    """Return the message of a specification with every field set."""
    operations = [
        pb.Operation(method=o.method, path_prefix=o.path_prefix, repeatable=o.repeatable)
        for o in spec.operations
    ]
    values = {name: getattr(spec, name) for name in _OPTIONAL_FIELDS}
    return pb.Service(name=spec.name, operations=operations, **values)
