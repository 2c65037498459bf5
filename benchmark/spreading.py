"""Measures what one change of the configuration costs each node that hears of it.

Usage: PYTHONPATH=src:platform python -m benchmark.spreading

Prints a Markdown table: bytes of one message and processor time at several sizes, for the ways
that docs/design/spreading.md weighs.
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
    """Print the table."""
    sys.stdout.write(
        "| routes | whole, as JSON | whole, compressed | one route changed | take it in, ms "
        "| read the whole anew, ms |\n|---|---|---|---|---|---|\n"
    )
    for count in ROUTE_COUNTS:
        sys.stdout.write(_row(count) + "\n")


def _row(count: int) -> str:
    routes = _routes(count)
    first = configuration(1, *routes)
    routes[0] = msgspec.structs.replace(routes[0], timeout=3.0)
    second = configuration(2, *routes)
    read = ConfigurationReader(ListLog())
    before, after = _read(read, first), _read(read, second)
    history = ConfigurationHistory()
    history.add_version(before.parts)
    history.add_version(after.parts)
    as_found = len(msgspec.json.encode({"configuration": second}))
    whole = encode_message(SyncReply(configuration=history.since(NO_VERSION)))
    difference = encode_message(SyncReply(configuration=history.since(1)))

    def take_in() -> None:
        delta = decode_message(difference, SyncReply).configuration
        assert delta is not None
        parts = delta.applied_to(before.parts)
        assert parts is not None
        read.assemble(parts)

    anew = _milliseconds(lambda: ConfigurationReader(ListLog())(second))
    return (
        f"| {count} | {as_found} | {len(whole)} | {len(difference)} "
        f"| {_milliseconds(take_in):.2f} | {anew:.2f} |"
    )


def _routes(count: int) -> list[RouteOptions]:
    """Return routes whose names do not resemble each other, as those of real hosts do not."""
    drawn = random.Random(SEED)
    return [
        RouteOptions(
            f"service-{number % 40}",
            host=f"{drawn.getrandbits(NAME_BITS):x}.example",
            prefix=f"/{drawn.getrandbits(NAME_BITS):x}/",
        )
        for number in range(count)
    ]


def _read(read: ConfigurationReader, raw: bytes) -> TrafficConfiguration:
    found = read(raw)
    assert found is not None
    return found


def _milliseconds(work: Callable[[], object]) -> float:
    begun = time.perf_counter()
    for _ in range(REPEATS):
        work()
    return (time.perf_counter() - begun) / REPEATS * 1000.0


if __name__ == "__main__":
    main()
