"""Prints the table of result codes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator


def table_lines() -> Iterator[str]:
    """Yield the lines of the Markdown table of result codes, in order of number."""
    yield "| number | name | status | ran | meaning | what to do |"
    yield "|---|---|---|---|---|---|"
    for code in sorted(ResultCode, key=lambda code: code.number):
        definition = code.value
        status = str(definition.http_status) if definition.http_status else "-"
        cells = [str(definition.number), code.name, status, definition.ran.value]
        yield "| " + " | ".join([*cells, definition.meaning, definition.action]) + " |"


class CodesCommand:
    """``hoisthook codes``."""

    name = "codes"
    description = "print the table of result codes"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        sys.stdout.write("\n".join(table_lines()) + "\n")
        return 0
