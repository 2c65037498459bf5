"""Measures how memory, message sizes and processor time of a node grow with the deployment.

Usage: PYTHONPATH=src:platform python -m benchmark.mesh_capacity

Prints a Markdown table: for each quantity its value at several sizes. docs/CAPACITY.md
estimates the needs of the target deployment from it.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from hoisthook_platform.configuration_record import ConfigurationReader

from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.peer_choice import ChoiceSettings
from hoisthook.mesh.peer_choice import PeerChoice
from hoisthook.mesh.peer_directory import PeerDirectory
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.traffic.evacuations import Evacuations
from standin.mesh_system import ListLog
from standin.published_configuration import RouteOptions
from standin.published_configuration import configuration

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

T = TypeVar("T")

PEER_COUNTS = (13, 88, 300, 3000, 24_000)
MEMBER_COUNTS = (3, 7, 37, 300)
ROUTE_COUNTS = (22, 350, 3700)
CHOICES_PER_SIZE = 200
BYTES_PER_MB = 1e6


def main() -> None:
    """Measure all quantities and print the table."""
    sys.stdout.write("| quantity | unit | measured (size: value) |\n|---|---|---|\n")
    for name, unit, values in _quantities():
        cells = ", ".join(f"{size}: {value:.4g}" for size, value in values)
        sys.stdout.write(f"| {name} | {unit} | {cells} |\n")
        sys.stdout.flush()


def _quantities() -> Iterator[tuple[str, str, list[tuple[int, float]]]]:
    yield "directory of nodes", "MB", [(n, _memory_mb(partial(_directory, n))) for n in PEER_COUNTS]
    encoded = [(n, float(len(msgspec.json.encode(_peers(n))))) for n in PEER_COUNTS]
    yield "all nodes' records", "bytes", encoded
    yield "decode all nodes' records", "ms", [(n, _read_seconds(n) * 1e3) for n in PEER_COUNTS]
    yield "choose a node of a service", "us", [(n, _choice_seconds(n) * 1e6) for n in MEMBER_COUNTS]
    records = [(n, _configuration_record(n)) for n in ROUTE_COUNTS]
    yield "configuration record", "bytes", [(n, float(len(raw))) for n, raw in records]
    read = ConfigurationReader(ListLog())
    yield "decode the configuration record", "ms", [
        (n, _mean_seconds(partial(read, raw), 5) * 1e3) for n, raw in records
    ]
    yield "configuration", "MB", [(n, _memory_mb(partial(read, raw))) for n, raw in records]


def _peers(count: int) -> list[Peer]:
    return [
        Peer(
            node=NodeId(f"sidecar-{number}"),
            address=f"10.{number >> 16}.{(number >> 8) & 255}.{number & 255}:8000",
            service=ServiceName(f"service-{number % 3700}"),
            data_centre=DataCentre(f"dc-{number % 29}"),
        )
        for number in range(count)
    ]


def _directory(count: int) -> PeerDirectory:
    peers = _peers(count)
    directory = PeerDirectory(peers[0], _NullEventSink())
    directory.merge(peers, "test")
    return directory


def _read_seconds(count: int) -> float:
    raw = [msgspec.json.encode(peer) for peer in _peers(count)]
    return _mean_seconds(lambda: [msgspec.json.decode(record, type=Peer) for record in raw], 3)


def _choice_seconds(node_count: int) -> float:
    own = Peer(NodeId("me"), "10.0.0.1:1", ServiceName("me"), DataCentre("dc-0"))
    directory = PeerDirectory(own, _NullEventSink())
    directory.merge(
        (msgspec.structs.replace(p, service=ServiceName("shop")) for p in _peers(node_count)),
        "test",
    )
    choice = PeerChoice(
        directory, ChoiceSettings(0.25), Evacuations(_NullEventSink()), random.Random(1)
    )
    call = RoutedCall(
        request_id=RequestId("q"),
        route=RouteName("r"),
        service=ServiceName("shop"),
        caller_service=ServiceName("me"),
        method=b"GET",
        target=b"/",
        headers=[],
        body=b"",
        received=0.0,
        deadline=10.0,
        target_latency=1.0,
        priority=1,
        repeatable=True,
        max_attempts=2,
    )
    return _mean_seconds(lambda: choice.direct(call, set(), 1.0), CHOICES_PER_SIZE)


def _configuration_record(count: int) -> bytes:
    routes = [RouteOptions(f"service-{n}", prefix=f"/route-{n}/") for n in range(count)]
    return configuration(1, *routes)


def _mean_seconds(operation: Callable[[], object], repeats: int) -> float:
    started_at = time.perf_counter()
    for _ in range(repeats):
        operation()
    return (time.perf_counter() - started_at) / repeats


def _memory_mb(factory: Callable[[], object]) -> float:
    tracemalloc.start()
    held = factory()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size / BYTES_PER_MB


class _NullEventSink:
    def event(self, name: str, **fields: object) -> None:
        """Discard the event."""

    def decision(self, name: str, **fields: object) -> None:
        """Discard the event."""


if __name__ == "__main__":
    main()
