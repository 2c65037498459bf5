"""Prints the table of result codes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator


def table_lines() -> Iterator[str]:
    """Return the lines of the table in Markdown."""
    yield "| number | name | status | ran | meaning | what to do |"
    yield "|---|---|---|---|---|---|"
    for code in sorted(ResultCode, key=lambda code: code.number):
        entry = code.value
        status = str(entry.http_status) if entry.http_status else "-"
        cells = [str(entry.number), code.name, status, entry.ran.value]
        yield "| " + " | ".join([*cells, entry.meaning, entry.action]) + " |"


class CodesCommand:
    """``hoisthook codes``."""

    name = "codes"
    description = "print the table of result codes"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run it and return the exit status."""
        sys.stdout.write("\n".join(table_lines()) + "\n")
        return 0
