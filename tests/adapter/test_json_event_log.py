from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.json_event_log import MAX_PENDING_BYTES
from hoisthook.adapter.json_event_log import JsonEventLog
from hoisthook.adapter.json_event_log import PipeWriter

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.fakes import FakeClock


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_available(reader: int) -> bytes:
    os.set_blocking(reader, False)
    data = b""
    try:
        while chunk := os.read(reader, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return data


def lines(data: bytes) -> list[dict[str, object]]:
    return [json.loads(line) for line in data.splitlines()]


def test_line_contains_time_node_name_and_fields(pipe: tuple[int, int], clock: FakeClock) -> None:
    log = JsonEventLog(PipeWriter(pipe[1]), "n-1", clock.now, 10)
    log.event("store_lost", reason="silent")
    (line,) = lines(read_available(pipe[0]))
    assert (line["node"], line["event"], line["reason"]) == ("n-1", "store_lost", "silent")
    assert isinstance(line["time"], float)


def test_decisions_beyond_the_rate_are_left_out_and_counted(
    pipe: tuple[int, int], clock: FakeClock
) -> None:
    log = JsonEventLog(PipeWriter(pipe[1]), "n-1", clock.now, 2)
    for number in range(5):
        log.decision("answered", request=str(number))
    clock.advance(1.0)
    log.decision("answered", request="5")
    log.flush()
    logged = lines(read_available(pipe[0]))
    assert [line.get("request") for line in logged if line["event"] == "answered"] == [
        "0",
        "1",
        "5",
    ]
    assert [line["over_rate"] for line in logged if line["event"] == "lines_left_out"] == [3]


def test_events_are_never_left_out_for_the_rate(pipe: tuple[int, int], clock: FakeClock) -> None:
    log = JsonEventLog(PipeWriter(pipe[1]), "n-1", clock.now, 0)
    for _ in range(5):
        log.event("peer_added", peer="x")
    assert len(lines(read_available(pipe[0]))) == 5


def test_reader_that_stops_reading_does_not_block_and_its_lines_are_counted(
    pipe: tuple[int, int], clock: FakeClock
) -> None:
    writer = PipeWriter(pipe[1])
    log = JsonEventLog(writer, "n-1", clock.now, 1_000_000)
    count = 3 * MAX_PENDING_BYTES // 100
    for _ in range(count):
        log.decision("answered", request="x" * 100)
    assert writer.dropped > 0
    dropped = writer.dropped
    data = b""
    while chunk := read_available(pipe[0]):
        data += chunk
        log.flush()
    clock.advance(1.0)
    log.decision("answered", request="last")
    log.flush()
    data += read_available(pipe[0])
    assert [line["unread"] for line in lines(data) if line["event"] == "lines_left_out"] == [
        dropped
    ]


def test_log_whose_reader_is_gone_goes_on(clock: FakeClock) -> None:
    reader, writer = os.pipe()
    os.close(reader)
    log = JsonEventLog(PipeWriter(writer), "n-1", clock.now, 10)
    log.event("started")
    os.close(writer)
