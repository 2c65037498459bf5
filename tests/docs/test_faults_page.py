from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PAGES = ("docs/FAULTS.md", "docs/PROOFS.md")
TEST_REFERENCE = re.compile(r"`(test_\w+)")
TEST_DEFINITION = re.compile(r"def (test_\w+)\(")
MODULE_REFERENCE = re.compile(r"\| `([\w/]+\.py)`(?:, `([\w/]+\.py)`)? \|")


def test_every_test_named_on_a_page_exists() -> None:
    defined_tests = set()
    for path in (ROOT / "tests").rglob("test_*.py"):
        defined_tests.update(TEST_DEFINITION.findall(path.read_text()))
    for page in PAGES:
        referenced_tests = set(TEST_REFERENCE.findall((ROOT / page).read_text()))
        assert referenced_tests - defined_tests == set(), page


def test_every_module_named_on_the_faults_page_exists() -> None:
    rows = MODULE_REFERENCE.findall((ROOT / "docs" / "FAULTS.md").read_text())
    names = {name for row in rows for name in row if name}
    assert names
    missing = {
        name
        for name in names
        if not (ROOT / name).exists() and not (ROOT / "src" / "hoisthook" / name).exists()
    }
    assert missing == set()
