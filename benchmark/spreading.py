"""Measures what one change of the configuration costs each node that receives it.

Usage: PYTHONPATH=src:platform python -m benchmark.spreading

Prints a Markdown table: bytes of one message and processor time for several numbers of routes, for
the alternatives that docs/design/spreading.md compares.
"""

from __future__ import annotations

import random
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from hoisthook_platform.configuration_record import ConfigurationReader

from hoisthook.mesh.sync_messages import SyncReply
from hoisthook.mesh.sync_messages import decode_message
from hoisthook.mesh.sync_messages import encode_message
from hoisthook.traffic.configuration_history import ConfigurationHistory
from hoisthook.traffic.configuration_parts import NO_VERSION
from standin.mesh_system import ListLog
from standin.published_configuration import RouteOptions
from standin.published_configuration import configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.traffic.traffic_configuration import TrafficConfiguration

ROUTE_COUNTS = (22, 350, 1753, 3700)
REPEATS = 5
SEED = 7
NAME_BITS = 40


def main() -> None:
    """Measure all sizes and print the table."""
    sys.stdout.write(
        "| routes | complete, as JSON | complete, compressed | one route changed "
        "| apply the change, ms | read the complete record, ms |\n|---|---|---|---|---|---|\n"
    )
    for count in ROUTE_COUNTS:
        sys.stdout.write(_row(count) + "\n")


def _row(count: int) -> str:
    routes = _routes(count)
    first = configuration(1, *routes)
    routes[0] = msgspec.structs.replace(routes[0], timeout=3.0)
    second = configuration(2, *routes)
    reader = ConfigurationReader(ListLog())
    before, after = _read_configuration(reader, first), _read_configuration(reader, second)
    history = ConfigurationHistory()
    history.add_version(before.parts)
    history.add_version(after.parts)
    json_bytes = len(msgspec.json.encode({"configuration": second}))
    full_update = encode_message(SyncReply(configuration=history.since(NO_VERSION)))
    delta_update = encode_message(SyncReply(configuration=history.since(1)))

    def apply_delta() -> None:
        delta = decode_message(delta_update, SyncReply).configuration
        assert delta is not None
        parts = delta.applied_to(before.parts)
        assert parts is not None
        reader.assemble(parts)

    full_read_ms = _milliseconds(lambda: ConfigurationReader(ListLog())(second))
    return (
        f"| {count} | {json_bytes} | {len(full_update)} | {len(delta_update)} "
        f"| {_milliseconds(apply_delta):.2f} | {full_read_ms:.2f} |"
    )


def _routes(count: int) -> list[RouteOptions]:
    """Return routes with random hosts and prefixes, since similar names would compress too well."""
    rng = random.Random(SEED)
    return [
        RouteOptions(
            f"service-{number % 40}",
            host=f"{rng.getrandbits(NAME_BITS):x}.example",
            prefix=f"/{rng.getrandbits(NAME_BITS):x}/",
        )
        for number in range(count)
    ]


def _read_configuration(reader: ConfigurationReader, raw: bytes) -> TrafficConfiguration:
    loaded = reader(raw)
    assert loaded is not None
    return loaded


def _milliseconds(operation: Callable[[], object]) -> float:
    started_at = time.perf_counter()
    for _ in range(REPEATS):
        operation()
    return (time.perf_counter() - started_at) / REPEATS * 1000.0


if __name__ == "__main__":
    main()
