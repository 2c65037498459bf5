"""Prints the timeline of one request, or a summary of failures, from collected logs."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from hoisthook.exceptions import HoisthookError
from hoisthook.result_code import BY_NUMBER
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable
    from collections.abc import Iterator

# Fields of every log line, printed at the start of the output line.
_HEAD_FIELDS = frozenset({"time", "node", "event", "request"})
LINE_START = b'{"time"'
MAX_SUMMARY_ROWS = 40
MS_PER_SECOND = 1000.0


class LogLine(msgspec.Struct):
    """The fields by which log lines are selected and sorted."""

    time: float
    node: str
    event: str
    request: str = ""


class ExplainCommand:
    """``hoisthook explain [--request ID] [FILE ...]``."""

    name = "explain"
    description = "print the timeline of a request, or a summary of failures, from collected logs"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("files", nargs="*", type=Path, help="log files; standard input if none")
        parser.add_argument(
            "--request", default="", help="id of the request; without it, failures are counted"
        )

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command; the exit status is 1 if no log line names the request."""
        lines = _read(arguments.files)
        if not arguments.request:
            sys.stdout.writelines(failure_summary(lines))
            return 0
        timeline = list(request_timeline(lines, arguments.request))
        sys.stdout.writelines(timeline)
        return 0 if timeline else 1


def request_timeline(lines: Iterable[bytes], request: str) -> Iterator[str]:
    """Yield the decisions about a request and its calls in chronological order.

    Before them come the events that are about no request: for each node involved, the latest
    event of each name, with its age. They show the observed state on which the decisions rely.
    Memory grows with the lines about the request and with these events, not with the whole log.
    """
    decisions: list[tuple[LogLine, bytes]] = []
    events: list[tuple[LogLine, bytes]] = []
    for raw in lines:
        line = _decode(raw)
        if line is None:
            continue
        if line.request == request or line.request.startswith(f"{request}."):
            decisions.append((line, raw))
        elif not line.request:
            # A decision names its request; a line without one reports a change of observed state.
            events.append((line, raw))
    if not decisions:
        return
    decisions.sort(key=lambda pair: pair[0].time)
    first, last = decisions[0][0].time, decisions[-1][0].time
    nodes = {line.node for line, _ in decisions}
    latest_events = _latest_events(events, nodes, last)
    for line, raw in sorted(latest_events, key=lambda pair: pair[0].time):
        age = first - line.time
        yield f"{'believed':>10} {line.node} {line.event} ({age:.3f} s before) {_fields(raw)}\n"
    for line, raw in decisions:
        offset = (line.time - first) * MS_PER_SECOND
        yield f"{offset:+9.1f}ms {line.node} {line.event} {line.request} {_fields(raw)}\n"


def failure_summary(lines: Iterable[bytes]) -> Iterator[str]:
    """Yield the number of failed requests by result code, service and node; most frequent first."""
    counts: Counter[tuple[int, str, str]] = Counter()
    for raw in lines:
        line = _decode(raw)
        if line is None or line.event != "answered":
            continue
        fields = _all_fields(raw)
        code = fields.get("code")
        if isinstance(code, int) and code != ResultCode.OK.number:
            counts[(code, str(fields.get("service", "-")), line.node)] += 1
    for (code, service, node), count in counts.most_common(MAX_SUMMARY_ROWS):
        yield f"{count:8} {_code_name(code)} service {service} at {node}\n"


def _latest_events(
    events: list[tuple[LogLine, bytes]], nodes: set[str], until: float
) -> Iterator[tuple[LogLine, bytes]]:
    latest_by_key: dict[tuple[str, str], tuple[LogLine, bytes]] = {}
    for line, raw in events:
        key = (line.node, line.event)
        if line.node not in nodes or line.time > until:
            continue
        if key not in latest_by_key or latest_by_key[key][0].time < line.time:
            latest_by_key[key] = (line, raw)
    yield from latest_by_key.values()


def _read(files: list[Path]) -> Iterator[bytes]:
    if not files:
        yield from sys.stdin.buffer
        return
    for path in files:
        try:
            with path.open("rb") as lines:
                yield from lines
        except OSError as error:
            detail = f"{path}: {error.strerror}"
            raise HoisthookError(ResultCode.LOG_FILE_UNREADABLE, detail) from error


def _decode(raw: bytes) -> LogLine | None:
    """Return the parsed head of a line; None if it is not a log line, as other programs' output."""
    start = raw.find(LINE_START)
    if start < 0:
        return None
    try:
        return msgspec.json.decode(raw[start:], type=LogLine)
    except msgspec.MsgspecError:
        return None


def _all_fields(raw: bytes) -> dict[str, object]:
    """Return the fields of a log line, which a collector may have prefixed."""
    return msgspec.json.decode(raw[raw.find(LINE_START) :], type=dict[str, object])


def _fields(raw: bytes) -> str:
    shown = []
    for name, value in _all_fields(raw).items():
        if name in _HEAD_FIELDS:
            continue
        if name == "code" and isinstance(value, int):
            value = _code_name(value)
        shown.append(f"{name}={value}")
    return " ".join(shown)


def _code_name(number: int) -> str:
    code = BY_NUMBER.get(number)
    return str(number) if code is None else f"{number} {code.name}"
