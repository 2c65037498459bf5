from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
WRITTEN = re.compile(r"\.(?:event|decision)\(\s*\"(\w+)\"")
NAMED = re.compile(r"^\| ((?:`\w+`(?:, )?)+) \|", re.MULTILINE)
SOURCES = (
    "src/hoisthook/local_backend",
    "src/hoisthook/membership",
    "src/hoisthook/mesh",
    "src/hoisthook/retry",
    "src/hoisthook/teams",
    "src/hoisthook/traffic",
    "platform/hoisthook_platform",
)
ADAPTERS = (
    "src/hoisthook/adapter/json_event_log.py",
    "src/hoisthook/adapter/logged_store.py",
    "src/hoisthook/adapter/loop_errors.py",
    "src/hoisthook/adapter/loop_stalls.py",
)


def test_logs_page_names_every_line_that_the_program_writes_and_no_other() -> None:
    files = [path for folder in SOURCES for path in (ROOT / folder).glob("*.py")]
    files += [ROOT / name for name in ADAPTERS]
    written = {name for path in files for name in WRITTEN.findall(path.read_text())}
    rows = NAMED.findall((ROOT / "docs" / "LOGS.md").read_text())
    named = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
    assert named == written
