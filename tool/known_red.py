"""Lets a test run pass over exactly the tests that KNOWN-RED.txt lists.

A plugin of pytest: ``-p tool.known_red --known-red KNOWN-RED.txt``. Each entry is a line of four
fields, separated by ``|``: the test's node id, the command with its seed, what was seen, the issue.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

FIELDS = 4
OPTION = "--known-red"


@dataclass(frozen=True, slots=True)
class KnownRed:
    """An entry of the list.

    Attributes
    ----------
    test : str
        Node id; without parameters it stands for all of them.
    command, seen, issue : str
        How it is reproduced, what happened, and where it is followed.
    """

    test: str
    command: str
    seen: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether the entry names a test."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")


def read_entries(path: Path) -> Iterator[KnownRed]:
    """Yield the entries of a list.

    Raises
    ------
    pytest.UsageError
        If a line has other than four fields, or an empty one.
    """
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise pytest.UsageError(f"{path}:{number}: not test | command | seen | issue")
        yield KnownRed(*fields)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option."""
    parser.addoption(OPTION, type=Path, default=None, help="list of known failures to pass over")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over the listed tests; an entry that names none is an error."""
    path = config.getoption(OPTION)
    if path is None:
        return
    for entry in read_entries(path):
        named = [item for item in items if entry.names(item.nodeid)]
        if not named:
            raise pytest.UsageError(f"{path}: no such test: {entry.test}")
        config.hook.pytest_deselected(items=named)
        items[:] = [item for item in items if item not in named]
