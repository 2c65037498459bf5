from __future__ import annotations

import re
from pathlib import Path

from hoisthook.adapter.metered_log import MeteredLog
from hoisthook.mesh.node_status import NodeStatus
from standin.mesh_system import ListLog

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
)
DOCS = Path(__file__).parent.parent.parent / "docs"


def metered() -> tuple[MeteredLog, ListLog]:
    lines = ListLog()
    log = MeteredLog(lines)
    log.event("store_lost", reason="silent")
    log.decision("answered", request="1", code=0, took_ms=30.0)
    log.decision("answered", request="2", code=2006, took_ms=5.0)
    log.decision("not_admitted", request="2", code=2006)
    log.decision("extra_try", request="1", granted=True)
    log.decision("hop_lost", request="3", code=3001)
    return log, lines


def test_every_line_is_handed_on_and_counted() -> None:
    log, lines = metered()
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


def test_metrics_page_names_every_metric_and_no_other() -> None:
    log, _ = metered()
    shown = set(re.findall(r"^# TYPE (\w+) ", log.text(STATUS).decode(), re.MULTILINE))
    shown = {name for name in shown if not name.endswith("_created")}
    written = set(re.findall(r"^\| `(\w+)` \|", (DOCS / "METRICS.md").read_text(), re.MULTILINE))
    assert written == shown
