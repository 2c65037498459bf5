"""The record of a script: one line for each thing that was sent, answered, run or done."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Writes lines with the seconds since the start of the script.

    Parameters
    ----------
    path : Path
        The file, which is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def seconds(self, at: float) -> float:
        """Return the seconds from the start of the script to a time."""
        return round(at - self.started, 3)

    def write(self, what: str, **fields: object) -> None:
        """Write a line."""
        now = self.seconds(time.monotonic())
        self._file.write(f"{now:9.3f} {what} {json.dumps(fields)}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line of text, also to the standard output."""
        print(text)
        self._file.write(text + "\n")
        self._file.flush()
