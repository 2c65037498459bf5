"""Measures how the state and work of a node on the platform grow with the deployment.

Usage: PYTHONPATH=src:platform python -m benchmark.mesh_capacity

Prints a Markdown table: for each quantity its value at several sizes. docs/CAPACITY.md
works out from it what the users' target needs.
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
REPEATS = 200
BYTES_PER_MB = 1e6


def main() -> None:
    """Print the table."""
    sys.stdout.write("| quantity | unit | measured (size: value) |\n|---|---|---|\n")
    for name, unit, values in _quantities():
        shown = ", ".join(f"{size}: {value:.4g}" for size, value in values)
        sys.stdout.write(f"| {name} | {unit} | {shown} |\n")
        sys.stdout.flush()


def _quantities() -> Iterator[tuple[str, str, list[tuple[int, float]]]]:
    yield "directory of nodes", "MB", [(n, _size(partial(_directory, n))) for n in PEER_COUNTS]
    encoded = [(n, float(len(msgspec.json.encode(_peers(n))))) for n in PEER_COUNTS]
    yield "all nodes' records", "bytes", encoded
    yield "read them", "ms", [(n, _read_seconds(n) * 1e3) for n in PEER_COUNTS]
    yield "choose a node among a service's", "us", [(n, _choose(n) * 1e6) for n in MEMBER_COUNTS]
    records = [(n, _record(n)) for n in ROUTE_COUNTS]
    yield "configuration record", "bytes", [(n, float(len(raw))) for n, raw in records]
    read = ConfigurationReader(ListLog())
    yield "read it", "ms", [(n, _seconds(partial(read, raw), 5) * 1e3) for n, raw in records]
    yield "configuration", "MB", [(n, _size(partial(read, raw))) for n, raw in records]


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
    directory = PeerDirectory(peers[0], _NoLog())
    directory.merge(peers, "test")
    return directory


def _read_seconds(count: int) -> float:
    raw = [msgspec.json.encode(peer) for peer in _peers(count)]
    return _seconds(lambda: [msgspec.json.decode(record, type=Peer) for record in raw], 3)


def _choose(members: int) -> float:
    me = Peer(NodeId("me"), "10.0.0.1:1", ServiceName("me"), DataCentre("dc-0"))
    directory = PeerDirectory(me, _NoLog())
    directory.merge(
        (msgspec.structs.replace(p, service=ServiceName("shop")) for p in _peers(members)), "test"
    )
    choice = PeerChoice(directory, ChoiceSettings(0.25), Evacuations(_NoLog()), random.Random(1))
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
    return _seconds(lambda: choice.direct(call, set(), 1.0), REPEATS)


def _record(count: int) -> bytes:
    routes = [RouteOptions(f"service-{n}", prefix=f"/route-{n}/") for n in range(count)]
    return configuration(1, *routes)


def _seconds(work: Callable[[], object], repeats: int) -> float:
    begun = time.perf_counter()
    for _ in range(repeats):
        work()
    return (time.perf_counter() - begun) / repeats


def _size(make: Callable[[], object]) -> float:
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / BYTES_PER_MB


class _NoLog:
    def event(self, name: str, **fields: object) -> None:
        """Drop the line."""

    def decision(self, name: str, **fields: object) -> None:
        """Drop the line."""


if __name__ == "__main__":
    main()
