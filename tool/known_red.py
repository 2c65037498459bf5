"""Deselects exactly the tests that KNOWN-RED.txt lists.

A pytest plugin: ``-p tool.known_red --known-red KNOWN-RED.txt``. Each entry is a line of four
fields, separated by ``|``: the node id of the test, the command with its seed, the failure that was
seen, and the issue. The first field may also be a script of the review, ``review/N/run.sh``, which
is not part of the run: nothing is deselected for it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

FIELD_COUNT = 4
OPTION = "--known-red"
SCRIPT = re.compile(r"review/\d+/run\.sh")


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A known failure: one entry of the list.

    Attributes
    ----------
    test : str
        Node id of the test, which matches every parametrization if it has no parameters; or path
        of a script.
    command, seen, issue : str
        How to reproduce the failure, what was seen, and the issue that tracks it.
    """

    test: str
    command: str
    seen: str
    issue: str

    def is_script_in(self, root: Path) -> bool:
        """Return whether the entry lists an existing script of the review."""
        return SCRIPT.fullmatch(self.test) is not None and (root / self.test).is_file()

    def matches(self, node_id: str) -> bool:
        """Return whether the entry lists the test with this node id."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")


def read_entries(path: Path) -> Iterator[KnownFailure]:
    """Yield the entries of a list.

    Raises
    ------
    pytest.UsageError
        If a line does not have four fields, or one of them is empty.
    """
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise pytest.UsageError(
                f"{path}:{number}: expected 4 fields: test | command | seen | issue"
            )
        yield KnownFailure(*fields)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option ``--known-red``."""
    parser.addoption(OPTION, type=Path, default=None, help="list of known failures to deselect")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests.

    This comes before the selection by markers, so that each part of a run finds all entries.

    Raises
    ------
    pytest.UsageError
        If an entry matches no collected test and is no script.
    """
    path = config.getoption(OPTION)
    if path is None:
        return
    for entry in read_entries(path):
        if entry.is_script_in(config.rootpath):
            continue
        matched = [item for item in items if entry.matches(item.nodeid)]
        if not matched:
            raise pytest.UsageError(f"{path}: entry matches no collected test: {entry.test}")
        config.hook.pytest_deselected(items=matched)
        items[:] = [item for item in items if item not in matched]
