"""Types of identifiers, and the parsing of names and addresses."""

from __future__ import annotations

import re
from typing import NewType

NodeId = NewType("NodeId", str)
Incarnation = NewType("Incarnation", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
InstanceId = NewType("InstanceId", str)
BackendServerId = NewType("BackendServerId", str)
DataCentre = NewType("DataCentre", str)
CallerId = NewType("CallerId", str)
TeamName = NewType("TeamName", str)
RequestId = NewType("RequestId", str)
WorkId = NewType("WorkId", str)
OperationId = NewType("OperationId", str)
Offset = NewType("Offset", int)
Address = tuple[str, int]

NAME_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")


def is_name(text: str) -> bool:
    """Return whether ``text`` is a valid name: 1 to 63 of ``a-z 0-9 -``, no hyphen at the ends."""
    return NAME_PATTERN.fullmatch(text) is not None


def parse_address(text: str) -> Address:
    """Parse an address such as ``"127.0.0.1:80"``.

    Raises
    ------
    ValueError
        If the text is not ``host:port`` with a port from 0 to 65535.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not host:port")
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f"port {number} is out of range")
    return host, number


def format_address(address: Address) -> str:
    """Return an address as ``host:port``."""
    return f"{address[0]}:{address[1]}"
