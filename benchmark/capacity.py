"""Slopes behind docs/CAPACITY.md: state, messages and processor time at several sizes.

Usage: python -m benchmark.capacity [--json FILE]

Each slope is measured at three or more sizes on the product's own objects and
codecs, and extrapolated in a straight line to the target's size.
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
from hoisthook.node.loop_clock import LoopClock
from hoisthook.port.platform_log import LogRecord
from hoisthook.routing.policy import ExpectedTime
from hoisthook.routing.router import Router

if TYPE_CHECKING:
    from collections.abc import Callable

NODES = 24_000
SERVICES = 3_700
TARGET_KEYS = 50_000
READERS = 2 * 29
MEMBER_SIZES = (500, 2_000, 8_000)
SERVICE_SIZES = (100, 400, 1_600)
KEY_SIZES = (1_000, 4_000, 16_000)
SENDER_SIZES = (500, 2_000, 8_000)
REPEATS = 200


@dataclass(frozen=True, slots=True)
class Slope:
    """One quantity at several sizes, and at the target's.

    Attributes
    ----------
    name : str
        What was measured.
    unit : str
        Of the values.
    sizes, values : tuple
        What was measured, pair by pair.
    target : int
        The target's size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    target: int

    @property
    def at_target(self) -> float:
        """Return the straight line's value at the target's size."""
        count = len(self.sizes)
        mean_x = sum(self.sizes) / count
        mean_y = sum(self.values) / count
        above = sum(
            (x - mean_x) * (y - mean_y) for x, y in zip(self.sizes, self.values, strict=True)
        )
        below = sum((x - mean_x) ** 2 for x in self.sizes)
        return mean_y + above / below * (self.target - mean_x)


def member(number: int, status: MemberStatus = MemberStatus.ALIVE) -> Member:
    """Return the record of one of many nodes."""
    return Member(
        node=f"svc-{number % SERVICES}-{number}",
        incarnation=f"{number:016x}",
        version=1_796_000_000_000 + number,
        address=f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7200",
        data_centre=f"dc-{number % 29}",
        status=status,
        backend_server=f"svc-{number % SERVICES}-{number}",
        service=f"svc-{number % SERVICES}",
        slots=12,
        takes_work=True,
    )


def spec(number: int) -> ServiceSpec:
    """Return the specification of one of many services."""
    operations = (OperationSpec("POST", "/search", repeatable=True),)
    return ServiceSpec(f"svc-{number}", operations, timeout_ms=1_000 + number)


def table_of(count: int) -> MemberTable:
    """Return a table that knows ``count`` nodes."""
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


def memory_of(make: Callable[[int], object], size: int) -> float:
    """Return the megabytes that an object of a size holds."""
    gc.collect()
    tracemalloc.start()
    kept = make(size)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used / 1e6


def micros_of(run: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor microseconds of one call, the least of three batches."""
    best = float("inf")
    for _ in range(3):
        begin = time.process_time()
        for _ in range(repeats):
            run()
        best = min(best, (time.process_time() - begin) / repeats * 1e6)
    return best


def registered_keys(count: int) -> KeyRegister:
    """Return a register with ``count`` answered keys."""
    register = KeyRegister("n", "i", LoopClock(), random.Random(1), max_records=count + 1)  # type: ignore[arg-type]
    answer = KeptAnswer(200, ((b"content-type", b"application/json"),), b"x" * 200, "b")
    for _ in range(count):
        key = parse_key(register.issue("svc"))  # type: ignore[arg-type]
        assert key is not None
        claim = register.claim(key, "svc", b"f" * 16)  # type: ignore[arg-type]
        assert isinstance(claim, Claimed)
        # Each kept answer is an object of its own, as in service.
        kept = KeptAnswer(200, answer.headers, bytes(bytearray(answer.body)), "b")
        register.answered(claim.record, kept)
    return register


def seen_senders(count: int) -> ReplayWindow:
    """Return a window that has seen ``count`` senders."""
    window = ReplayWindow()
    for sender in range(count):
        for number in range(3):
            window.accept(f"{sender:016x}", number)  # type: ignore[arg-type]
    return window


def memory_slopes() -> list[Slope]:
    """Return the slopes of state."""
    kinds: list[tuple[str, Callable[[int], object], tuple[int, ...], int]] = [
        ("member table", table_of, MEMBER_SIZES, NODES),
        ("configuration", state_of, SERVICE_SIZES, SERVICES),
        ("idempotency keys", registered_keys, KEY_SIZES, TARGET_KEYS),
        ("replay windows", seen_senders, SENDER_SIZES, NODES),
    ]
    return [
        Slope(name, "MB", sizes, tuple(memory_of(make, size) for size in sizes), target)
        for name, make, sizes, target in kinds
    ]


def time_slopes() -> list[Slope]:
    """Return the slopes of processor time."""
    tables = [table_of(size) for size in MEMBER_SIZES]
    routers = [Router(table, ExpectedTime(random.Random(1))) for table in tables]
    choose = [micros_of(partial(r.choose, "svc-1", (), 1.0), 2_000) for r in routers]
    readers = [micros_of(partial(is_reader, t, 2), 20) for t in tables]
    expire = [micros_of(partial(t.expire, 1.0), 20) for t in tables]
    merge = [_merge_micros(table) for table in tables]
    full = [micros_of(partial(_encode_table, t), 5) for t in tables]
    states = [state_of(size) for size in SERVICE_SIZES]
    snapshots = [micros_of(partial(_encode_snapshot, s), 5) for s in states]
    return [
        Slope("choose a backend server", "us", MEMBER_SIZES, tuple(choose), NODES),
        Slope("is this node a reader", "us", MEMBER_SIZES, tuple(readers), NODES),
        Slope("look for the silent", "us", MEMBER_SIZES, tuple(expire), NODES),
        Slope("take in one exchange", "us", MEMBER_SIZES, tuple(merge), NODES),
        Slope("encode the whole table", "us", MEMBER_SIZES, tuple(full), NODES),
        Slope("encode a snapshot", "us", SERVICE_SIZES, tuple(snapshots), SERVICES),
    ]


def _encode_table(table: MemberTable) -> bytes:
    return msgspec.json.encode(tuple(table))


def _encode_snapshot(state: ConfigurationState) -> bytes:
    return msgspec.json.encode(state.snapshot())


def _merge_micros(table: MemberTable) -> float:
    gossip = Gossip(table, None, LoopClock(), random.Random(1), seeds=[], interval=0.5)  # type: ignore[arg-type]
    news = tuple(member(number) for number in range(1, 13))
    message = msgspec.json.encode(Exchange(member(1), news, 0, 0))

    def take_in() -> None:
        answer = gossip.receive(msgspec.json.decode(message, type=Exchange))
        msgspec.json.encode(answer)

    return micros_of(take_in)


def byte_slopes() -> list[Slope]:
    """Return the slopes of message sizes."""
    tables = [len(msgspec.json.encode(tuple(table_of(size)))) for size in MEMBER_SIZES]
    states = [len(msgspec.json.encode(state_of(size).snapshot())) for size in SERVICE_SIZES]
    news = [
        len(msgspec.json.encode(Exchange(member(0), tuple(map(member, range(count))), 0, 0)))
        for count in (0, 6, 12)
    ]
    return [
        Slope("whole table", "bytes", MEMBER_SIZES, tuple(map(float, tables)), NODES),
        Slope("snapshot", "bytes", SERVICE_SIZES, tuple(map(float, states)), SERVICES),
        Slope("exchange with news", "bytes", (0, 6, 12), tuple(map(float, news)), 12),
    ]


def spread_rounds(count: int, informed: int, seed: int) -> int:
    """Return after how many rounds all of ``count`` nodes know what some know at first.

    Each node exchanges with one random node a round, both ways, as gossip does; this
    is the arithmetic of chance alone, without clocks, delays or failures.
    """
    draw = random.Random(seed)
    knows = bytearray(count)
    knows[:informed] = b"\1" * informed
    rounds = 0
    while not all(knows):
        rounds += 1
        before = bytes(knows)
        for node in range(count):
            other = draw.randrange(count)
            if before[node] or before[other]:
                knows[node] = knows[other] = 1
    return rounds


def spread_slope(name: str, informed: int) -> Slope:
    """Return the rounds that news takes, at sizes up to the target's own."""
    sizes = (500, 2_000, 8_000, NODES)
    rounds = tuple(float(max(spread_rounds(n, informed, s) for s in range(3))) for n in sizes)
    return Slope(name, "rounds", sizes, rounds, NODES)


def table_lines(slopes: list[Slope]) -> list[str]:
    """Return the slopes as a Markdown table."""
    lines = ["| quantity | unit | measured (size: value) | target size | at the target |"]
    lines.append("|---|---|---|---|---|")
    for slope in slopes:
        pairs = [f"{s}: {v:.3g}" for s, v in zip(slope.sizes, slope.values, strict=True)]
        cells = [slope.name, slope.unit, ", ".join(pairs), str(slope.target)]
        lines.append("| " + " | ".join([*cells, f"{slope.at_target:.4g}"]) + " |")
    return lines


def main() -> None:
    """Measure all slopes and print them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    slopes = [*memory_slopes(), *time_slopes(), *byte_slopes()]
    slopes.append(spread_slope("rounds until all know a node's news", 1))
    slopes.append(spread_slope("rounds until all know the readers' news", READERS))
    sys.stdout.write("\n".join(table_lines(slopes)) + "\n")
    if arguments.json is not None:
        arguments.json.write_bytes(msgspec.json.encode(slopes))


if __name__ == "__main__":
    main()
