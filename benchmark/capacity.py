"""Measures how state, message sizes and processor time grow; docs/CAPACITY.md reports the results.

Usage: python -m benchmark.capacity [--json FILE]

Each quantity is measured at three or more sizes on the product's own objects and
codecs, and extrapolated linearly to the size of the target deployment.
"""

from __future__ import annotations

import argparse
import gc
import random
import sys
import time
import tracemalloc
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from hoisthook.configuration.change import ChangeRecord
from hoisthook.configuration.change import PutService
from hoisthook.configuration.configuration_state import ConfigurationState
from hoisthook.configuration.service_spec import OperationSpec
from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.idempotency.key import parse_key
from hoisthook.idempotency.key_register import Claimed
from hoisthook.idempotency.key_register import KeptAnswer
from hoisthook.idempotency.key_register import KeyRegister
from hoisthook.idempotency.replay_window import ReplayWindow
from hoisthook.membership.gossip import Gossip
from hoisthook.membership.member import Exchange
from hoisthook.membership.member import Member
from hoisthook.membership.member import MemberStatus
from hoisthook.membership.member_table import MemberTable
from hoisthook.membership.reader_choice import is_reader
from hoisthook.port.platform_log import LogRecord
from hoisthook.routing.policy import ExpectedTime
from hoisthook.routing.router import Router

if TYPE_CHECKING:
    from collections.abc import Callable

TARGET_NODES = 24_000
TARGET_SERVICES = 3_700
TARGET_KEYS = 50_000
TARGET_READERS = 2 * 29
MEMBER_SIZES = (500, 2_000, 8_000)
SERVICE_SIZES = (100, 400, 1_600)
KEY_SIZES = (1_000, 4_000, 16_000)
SENDER_SIZES = (500, 2_000, 8_000)
CALLS_PER_BATCH = 200


@dataclass(frozen=True, slots=True)
class Slope:
    """One quantity measured at several sizes, extrapolated to the target size.

    Attributes
    ----------
    name : str
        Name of the quantity.
    unit : str
        Unit of the values.
    sizes, values : tuple
        Sizes, and the value measured at each.
    target : int
        Size in the target deployment.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    target: int

    @property
    def at_target(self) -> float:
        """Return the value of the least-squares line at the target size."""
        count = len(self.sizes)
        mean_x = sum(self.sizes) / count
        mean_y = sum(self.values) / count
        covariance = sum(
            (x - mean_x) * (y - mean_y) for x, y in zip(self.sizes, self.values, strict=True)
        )
        variance = sum((x - mean_x) ** 2 for x in self.sizes)
        return mean_y + covariance / variance * (self.target - mean_x)


def member(number: int, status: MemberStatus = MemberStatus.ALIVE) -> Member:
    """Return the member record of a node."""
    return Member(
        node=f"svc-{number % TARGET_SERVICES}-{number}",
        incarnation=f"{number:016x}",
        version=1_796_000_000_000 + number,
        address=f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7200",
        data_centre=f"dc-{number % 29}",
        status=status,
        backend_server=f"svc-{number % TARGET_SERVICES}-{number}",
        service=f"svc-{number % TARGET_SERVICES}",
        slots=12,
        takes_work=True,
    )


def spec(number: int) -> ServiceSpec:
    """Return the specification of a service."""
    operations = (OperationSpec("POST", "/search", repeatable=True),)
    return ServiceSpec(f"svc-{number}", operations, timeout_ms=1_000 + number)


def table_of(count: int) -> MemberTable:
    """Return a member table of ``count`` nodes."""
    table = MemberTable(member(0), random.Random(1))
    for number in range(1, count):
        table.merge(member(number), 0.0)
    return table


def state_of(count: int) -> ConfigurationState:
    """Return a configuration of ``count`` services."""
    state = ConfigurationState()
    for number in range(count):
        record = ChangeRecord(f"op-{number}", 0, PutService(spec(number)))
        state.apply(LogRecord(number, msgspec.json.encode(record)))
    return state


def memory_mb(factory: Callable[[int], object], size: int) -> float:
    """Return the megabytes that an object of the given size holds."""
    gc.collect()
    tracemalloc.start()
    held = factory(size)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return used / 1e6


def cpu_micros(call: Callable[[], object], repeats: int = CALLS_PER_BATCH) -> float:
    """Return the processor microseconds of one call: the minimum of three batch means."""
    best = float("inf")
    for _ in range(3):
        started_at = time.process_time()
        for _ in range(repeats):
            call()
        best = min(best, (time.process_time() - started_at) / repeats * 1e6)
    return best


class ProcessClock:
    """Clock for components that are measured outside an event loop."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


def key_register_of(count: int) -> KeyRegister:
    """Return a register with ``count`` answered keys."""
    register = KeyRegister("n", "i", ProcessClock(), random.Random(1), max_records=count + 1)  # type: ignore[arg-type]
    answer = KeptAnswer(200, ((b"content-type", b"application/json"),), b"x" * 200, "b")
    for _ in range(count):
        key = parse_key(register.issue("svc"))  # type: ignore[arg-type]
        assert key is not None
        claim = register.claim(key, "svc", b"f" * 16)  # type: ignore[arg-type]
        assert isinstance(claim, Claimed)
        # As in a running node, stored answers do not share their body.
        held = KeptAnswer(200, answer.headers, bytes(bytearray(answer.body)), "b")
        register.answered(claim.record, held)
    return register


def replay_window_of(count: int) -> ReplayWindow:
    """Return a replay window with three messages from each of ``count`` senders."""
    window = ReplayWindow()
    for sender in range(count):
        for number in range(3):
            window.accept(f"{sender:016x}", number)  # type: ignore[arg-type]
    return window


def memory_slopes() -> list[Slope]:
    """Measure the memory of the state that a node holds."""
    quantities: list[tuple[str, Callable[[int], object], tuple[int, ...], int]] = [
        ("member table", table_of, MEMBER_SIZES, TARGET_NODES),
        ("configuration", state_of, SERVICE_SIZES, TARGET_SERVICES),
        ("idempotency keys", key_register_of, KEY_SIZES, TARGET_KEYS),
        ("replay windows", replay_window_of, SENDER_SIZES, TARGET_NODES),
    ]
    return [
        Slope(name, "MB", sizes, tuple(memory_mb(factory, size) for size in sizes), target)
        for name, factory, sizes, target in quantities
    ]


def time_slopes() -> list[Slope]:
    """Measure the processor time of frequent operations."""
    tables = [table_of(size) for size in MEMBER_SIZES]
    routers = [Router(table, ExpectedTime(random.Random(1))) for table in tables]
    choose = [cpu_micros(partial(r.choose, "svc-1", (), 1.0), 2_000) for r in routers]
    readers = [cpu_micros(partial(is_reader, t, 2), 20) for t in tables]
    expire = [cpu_micros(partial(t.expire, 1.0), 20) for t in tables]
    merge = [_merge_micros(table) for table in tables]
    encode_tables = [cpu_micros(partial(_encode_table, t), 5) for t in tables]
    states = [state_of(size) for size in SERVICE_SIZES]
    snapshots = [cpu_micros(partial(_encode_snapshot, s), 5) for s in states]
    return [
        Slope("choose a backend server", "us", MEMBER_SIZES, tuple(choose), TARGET_NODES),
        Slope("is this node a reader", "us", MEMBER_SIZES, tuple(readers), TARGET_NODES),
        Slope("find nodes to suspect or remove", "us", MEMBER_SIZES, tuple(expire), TARGET_NODES),
        Slope("apply one gossip exchange", "us", MEMBER_SIZES, tuple(merge), TARGET_NODES),
        Slope("encode the complete table", "us", MEMBER_SIZES, tuple(encode_tables), TARGET_NODES),
        Slope("encode a snapshot", "us", SERVICE_SIZES, tuple(snapshots), TARGET_SERVICES),
    ]


def _encode_table(table: MemberTable) -> bytes:
    return msgspec.json.encode(tuple(table))


def _encode_snapshot(state: ConfigurationState) -> bytes:
    return msgspec.json.encode(state.snapshot())


def _merge_micros(table: MemberTable) -> float:
    gossip = Gossip(table, None, ProcessClock(), random.Random(1), seeds=[], interval=0.5)  # type: ignore[arg-type]
    members = tuple(member(number) for number in range(1, 13))
    message = msgspec.json.encode(Exchange(member(1), members, 0, 0))

    def apply_exchange() -> None:
        answer = gossip.receive(msgspec.json.decode(message, type=Exchange))
        msgspec.json.encode(answer)

    return cpu_micros(apply_exchange)


def byte_slopes() -> list[Slope]:
    """Measure the sizes of messages."""
    tables = [len(msgspec.json.encode(tuple(table_of(size)))) for size in MEMBER_SIZES]
    states = [len(msgspec.json.encode(state_of(size).snapshot())) for size in SERVICE_SIZES]
    members = [
        len(msgspec.json.encode(Exchange(member(0), tuple(map(member, range(count))), 0, 0)))
        for count in (0, 6, 12)
    ]
    return [
        Slope("complete table", "bytes", MEMBER_SIZES, tuple(map(float, tables)), TARGET_NODES),
        Slope("snapshot", "bytes", SERVICE_SIZES, tuple(map(float, states)), TARGET_SERVICES),
        Slope(
            "gossip exchange with member updates",
            "bytes",
            (0, 6, 12),
            tuple(map(float, members)),
            12,
        ),
    ]


def gossip_rounds(count: int, initial_nodes: int, seed: int) -> int:
    """Return the number of gossip rounds until all of ``count`` nodes have an update.

    ``initial_nodes`` nodes have it at first. In a round each node exchanges with one
    random node, in both directions. Clocks, delays and failures are not simulated.
    """
    rng = random.Random(seed)
    has_update = bytearray(count)
    has_update[:initial_nodes] = b"\1" * initial_nodes
    rounds = 0
    while not all(has_update):
        rounds += 1
        had_update = bytes(has_update)
        for node in range(count):
            peer = rng.randrange(count)
            if had_update[node] or had_update[peer]:
                has_update[node] = has_update[peer] = 1
    return rounds


def gossip_slope(name: str, initial_nodes: int) -> Slope:
    """Simulate the rounds until an update reaches all nodes; the largest of three seeds."""
    sizes = (500, 2_000, 8_000, TARGET_NODES)
    rounds = tuple(float(max(gossip_rounds(n, initial_nodes, s) for s in range(3))) for n in sizes)
    return Slope(name, "rounds", sizes, rounds, TARGET_NODES)


def table_lines(slopes: list[Slope]) -> list[str]:
    """Return the lines of a Markdown table of the slopes."""
    lines = ["| quantity | unit | measured (size: value) | target size | at the target |"]
    lines.append("|---|---|---|---|---|")
    for slope in slopes:
        pairs = [f"{s}: {v:.3g}" for s, v in zip(slope.sizes, slope.values, strict=True)]
        cells = [slope.name, slope.unit, ", ".join(pairs), str(slope.target)]
        lines.append("| " + " | ".join([*cells, f"{slope.at_target:.4g}"]) + " |")
    return lines


def main() -> None:
    """Measure all slopes, print them, and write them to the file of ``--json``."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    slopes = [*memory_slopes(), *time_slopes(), *byte_slopes()]
    slopes.append(gossip_slope("rounds until an update of one node reaches all", 1))
    slopes.append(gossip_slope("rounds until an update of the readers reaches all", TARGET_READERS))
    sys.stdout.write("\n".join(table_lines(slopes)) + "\n")
    if arguments.json is not None:
        arguments.json.write_bytes(msgspec.json.encode(slopes))


if __name__ == "__main__":
    main()
