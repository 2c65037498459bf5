"""Tells a request's story, or what failed, out of collected logs."""

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

# Fields that every line bears, shown in the line's head.
_HEAD_FIELDS = frozenset({"time", "node", "event", "request"})
MAX_SUMMARY_ROWS = 40
MILLIS = 1000.0


class LogLine(msgspec.Struct):
    """The fields of a log line by which lines are chosen and ordered."""

    time: float
    node: str
    event: str
    request: str = ""


class ExplainCommand:
    """``hoisthook explain [--request ID] [FILE ...]``."""

    name = "explain"
    description = "tell a request's story, or what failed, from collected log lines"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("files", nargs="*", type=Path, help="log files; standard input if none")
        parser.add_argument("--request", default="", help="the request's id")

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run it; status 1 says that no line names the request."""
        lines = _read(arguments.files)
        if not arguments.request:
            sys.stdout.writelines(summary(lines))
            return 0
        told = list(story(lines, arguments.request))
        sys.stdout.writelines(told)
        return 0 if told else 1


def story(lines: Iterable[bytes], request: str) -> Iterator[str]:
    """Yield one line a decision about a request and its calls, in order of time.

    Each is followed by the changes of belief at its node since that node's last one, so
    that the story shows what was believed and how old it was. Memory grows with the
    lines about the request and with the changes of belief, not with the log.
    """
    decisions: list[tuple[LogLine, bytes]] = []
    beliefs: list[tuple[LogLine, bytes]] = []
    for raw in lines:
        line = _decode(raw)
        if line is None:
            continue
        if line.request == request or line.request.startswith(f"{request}."):
            decisions.append((line, raw))
        elif not line.request:
            # Decisions about requests name them; what names none changes a belief.
            beliefs.append((line, raw))
    if not decisions:
        return
    decisions.sort(key=lambda pair: pair[0].time)
    first, last = decisions[0][0].time, decisions[-1][0].time
    nodes = {line.node for line, _ in decisions}
    latest = _latest_beliefs(beliefs, nodes, last)
    for line, raw in sorted(latest, key=lambda pair: pair[0].time):
        age = first - line.time
        yield f"{'believed':>10} {line.node} {line.event} ({age:.3f} s before) {_fields(raw)}\n"
    for line, raw in decisions:
        offset = (line.time - first) * MILLIS
        yield f"{offset:+9.1f}ms {line.node} {line.event} {line.request} {_fields(raw)}\n"


def summary(lines: Iterable[bytes]) -> Iterator[str]:
    """Yield how many requests ended with each code, by service and node."""
    counts: Counter[tuple[int, str, str]] = Counter()
    for raw in lines:
        line = _decode(raw)
        if line is None or line.event != "answered":
            continue
        fields = msgspec.json.decode(raw, type=dict[str, object])
        code = fields.get("code")
        if isinstance(code, int) and code != ResultCode.OK.number:
            counts[(code, str(fields.get("service", "-")), line.node)] += 1
    for (code, service, node), count in counts.most_common(MAX_SUMMARY_ROWS):
        yield f"{count:8} {_code_name(code)} service {service} at {node}\n"


def _latest_beliefs(
    beliefs: list[tuple[LogLine, bytes]], nodes: set[str], until: float
) -> Iterator[tuple[LogLine, bytes]]:
    newest: dict[tuple[str, str], tuple[LogLine, bytes]] = {}
    for line, raw in beliefs:
        key = (line.node, line.event)
        if line.node not in nodes or line.time > until:
            continue
        if key not in newest or newest[key][0].time < line.time:
            newest[key] = (line, raw)
    yield from newest.values()


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
    """Return a line's head; None for what is no log line, as other programs' output."""
    start = raw.find(b'{"time"')
    if start < 0:
        return None
    try:
        return msgspec.json.decode(raw[start:], type=LogLine)
    except msgspec.MsgspecError:
        return None


def _fields(raw: bytes) -> str:
    fields = msgspec.json.decode(raw[raw.find(b'{"time"') :], type=dict[str, object])
    shown = []
    for name, value in fields.items():
        if name in _HEAD_FIELDS:
            continue
        if name == "code" and isinstance(value, int):
            value = _code_name(value)
        shown.append(f"{name}={value}")
    return " ".join(shown)


def _code_name(number: int) -> str:
    code = BY_NUMBER.get(number)
    return str(number) if code is None else f"{number} {code.name}"
