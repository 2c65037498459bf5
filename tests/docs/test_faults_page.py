from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PAGES = ("docs/FAULTS.md", "docs/PROOFS.md")
NAMED = re.compile(r"`(test_\w+)")
DEFINED = re.compile(r"def (test_\w+)\(")
MODULE = re.compile(r"\| `([\w/]+\.py)`(?:, `([\w/]+\.py)`)? \|")


def test_every_test_that_a_page_names_exists() -> None:
    defined = set()
    for path in (ROOT / "tests").rglob("test_*.py"):
        defined.update(DEFINED.findall(path.read_text()))
    for page in PAGES:
        named = set(NAMED.findall((ROOT / page).read_text()))
        assert named - defined == set(), page


def test_every_module_that_the_faults_page_names_exists() -> None:
    rows = MODULE.findall((ROOT / "docs" / "FAULTS.md").read_text())
    names = {name for row in rows for name in row if name}
    assert names
    missing = {
        name
        for name in names
        if not (ROOT / name).exists() and not (ROOT / "src" / "hoisthook" / name).exists()
    }
    assert missing == set()
