from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from hoisthook.adapter import metered_log
from hoisthook.adapter.metered_log import MeteredLog
from hoisthook.local_backend.repeat_limit import RepeatStatus
from hoisthook.mesh.node_status import NodeStatus
from standin.mesh_system import ListLog

if TYPE_CHECKING:
    import pytest

STATUS = NodeStatus(
    ready=True,
    backend_state="ready",
    running=3,
    waiting=1,
    limit=9,
    slowdown=1.5,
    configuration=7,
    peers=12,
    store_away=False,
    backend_connections=4,
    evacuated=1,
    cold=False,
    refused_work=2,
    repeats=RepeatStatus(7.5, 120.0, 15.5, -1.0, 4),
    stalled_seconds=0.4,
)
ROOT = Path(__file__).parent.parent.parent
DOCS = ROOT / "docs"


def metered_log_and_lines() -> tuple[MeteredLog, ListLog]:
    lines = ListLog()
    log = MeteredLog(lines)
    log.event("store_lost", reason="silent")
    log.decision("answered", request="1", code=0, took_ms=30.0)
    log.decision("answered", request="2", code=2006, took_ms=5.0)
    log.decision("not_admitted", request="2", code=2006)
    log.decision("extra_try", request="1", granted=True)
    log.decision("hop_lost", request="3", code=3001)
    return log, lines


def test_every_line_is_forwarded_and_counted() -> None:
    log, lines = metered_log_and_lines()
    assert len(lines.lines) == 6
    text = log.text(STATUS).decode()
    assert 'hoisthook_events_total{event="store_lost"} 1.0' in text
    assert 'hoisthook_answers_total{code="2006"} 1.0' in text
    assert 'hoisthook_answer_seconds_bucket{code="0",le="0.05"} 1.0' in text
    assert 'hoisthook_answer_seconds_bucket{code="0",le="0.025"} 0.0' in text
    assert 'hoisthook_not_admitted_total{code="2006"} 1.0' in text
    assert 'hoisthook_extra_tries_total{granted="true"} 1.0' in text
    assert 'hoisthook_lost_total{where="hop_lost"} 1.0' in text
    assert "hoisthook_configuration_version 7.0" in text
    assert "hoisthook_ready 1.0" in text


def test_counts_continue_after_the_metrics_were_requested() -> None:
    log, _ = metered_log_and_lines()
    log.text(STATUS)
    log.decision("answered", request="4", code=0, took_ms=30.0)
    text = log.text(STATUS).decode()
    assert 'hoisthook_answers_total{code="0"} 2.0' in text
    assert 'hoisthook_answer_seconds_count{code="0"} 2.0' in text
    assert 'hoisthook_events_total{event="store_lost"} 1.0' in text


def test_buffered_times_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(metered_log, "MAX_BUFFERED_TIMES", 10)
    log = MeteredLog(ListLog())
    for number in range(25):
        log.decision("answered", request=str(number), code=0, took_ms=1.0)
    assert len(log._times) < 10
    assert 'hoisthook_answer_seconds_count{code="0"} 25.0' in log.text(STATUS).decode()


def test_start_of_a_node_does_not_load_the_metrics_library() -> None:
    program = "import sys, hoisthook_platform.main; print('prometheus_client' in sys.modules)"
    paths = os.pathsep.join(str(ROOT / name) for name in ("src", "platform"))
    completed = subprocess.run(
        [sys.executable, "-c", program],
        env={**os.environ, "PYTHONPATH": paths},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "False"


def test_metrics_page_names_every_metric_and_no_other() -> None:
    log, _ = metered_log_and_lines()
    exported = set(re.findall(r"^# TYPE (\w+) ", log.text(STATUS).decode(), re.MULTILINE))
    exported = {name for name in exported if not name.endswith("_created")}
    documented = set(re.findall(r"^\| `(\w+)` \|", (DOCS / "METRICS.md").read_text(), re.MULTILINE))
    assert documented == exported
