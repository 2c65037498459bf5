from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

from hoisthook.console.application import run

if TYPE_CHECKING:
    import pytest

LINES: list[dict[str, object]] = [
    {"time": 9.0, "node": "n-2", "event": "store_lost", "reason": "silent"},
    {"time": 5.0, "node": "n-2", "event": "store_lost", "reason": "older"},
    {"time": 9.5, "node": "n-9", "event": "store_lost", "reason": "elsewhere"},
    {
        "time": 10.02,
        "node": "n-1",
        "event": "answered",
        "request": "a",
        "code": 2006,
        "service": "s",
    },
    {"time": 10.01, "node": "n-2", "event": "not_admitted", "request": "a", "code": 2006},
    {"time": 10.0, "node": "n-3", "event": "answered", "request": "a.1", "code": 0, "took_ms": 3.0},
    {"time": 10.0, "node": "n-1", "event": "answered", "request": "b", "code": 0, "service": "s"},
    {"time": 9.9, "node": "n-2", "event": "admitted", "request": "b", "running": 3},
]


def write_log(folder: Path) -> str:
    path = folder / "node.log"
    text = "".join(json.dumps(line, separators=(",", ":")) + "\n" for line in LINES)
    path.write_text("another program's output\n" + text + '{"time":broken\n')
    return str(path)


def test_timeline_is_chronological_with_prior_events_their_age_and_code_names(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["explain", "--request", "a", write_log(tmp_path)]) == 0
    timeline = capsys.readouterr().out.splitlines()
    assert timeline[0].endswith("n-2 store_lost (1.000 s before) reason=silent")
    assert [line.split()[2] for line in timeline[1:]] == ["answered", "not_admitted", "answered"]
    assert "code=2006 SLOTS_FULL" in timeline[-1]
    assert timeline[-1].lstrip().startswith("+20.0ms n-1")
    assert len(timeline) == 4


def test_unknown_request_has_exit_status_one(tmp_path: Path) -> None:
    assert run(["explain", "--request", "zzz", write_log(tmp_path)]) == 1


def test_summary_counts_failures_by_code_service_and_node(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["explain", write_log(tmp_path)]) == 0
    assert capsys.readouterr().out.strip() == "1 2006 SLOTS_FULL service s at n-1"


def test_unreadable_file_is_a_numbered_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["explain", str(tmp_path / "none")]) == 2
    assert capsys.readouterr().err.startswith("5007 LOG_FILE_UNREADABLE")


def test_summary_reads_lines_that_a_collector_has_prefixed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "collected.log"
    lines = Path(write_log(tmp_path)).read_text().splitlines()
    path.write_text("".join(f"n-1 | {line}\n" for line in lines))
    assert run(["explain", str(path)]) == 0
    summary = " ".join(capsys.readouterr().out.split())
    assert summary == "1 2006 SLOTS_FULL service s at n-1"
