from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
LOG_CALL = re.compile(r"\.(?:event|decision)\(\s*\"(\w+)\"")
EVENT_ROW = re.compile(r"^\| ((?:`\w+`(?:, )?)+) \|", re.MULTILINE)
SOURCE_FOLDERS = (
    "src/hoisthook/local_backend",
    "src/hoisthook/membership",
    "src/hoisthook/mesh",
    "src/hoisthook/retry",
    "src/hoisthook/teams",
    "src/hoisthook/traffic",
    "platform/hoisthook_platform",
)
ADAPTER_FILES = (
    "src/hoisthook/adapter/json_event_log.py",
    "src/hoisthook/adapter/logged_store.py",
    "src/hoisthook/adapter/loop_errors.py",
    "src/hoisthook/adapter/loop_stalls.py",
)


def test_logs_page_documents_exactly_the_events_that_are_logged() -> None:
    files = [path for folder in SOURCE_FOLDERS for path in (ROOT / folder).glob("*.py")]
    files += [ROOT / name for name in ADAPTER_FILES]
    logged_events = {name for path in files for name in LOG_CALL.findall(path.read_text())}
    rows = EVENT_ROW.findall((ROOT / "docs" / "LOGS.md").read_text())
    documented_events = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
    assert documented_events == logged_events
