"""The record of a case: what was sent, answered and run, with times."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Lines with the seconds since the start of the script.

    Parameters
    ----------
    path : Path
        File that is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def line(self, text: str) -> float:
        """Write a line; return its time."""
        now = self.seconds()
        self._file.write(f"{now:8.3f}  {text}\n")
        self._file.flush()
        return now

    def say(self, text: str) -> None:
        """Write a line, also to standard output."""
        now = self.line(text)
        sys.stdout.write(f"{now:8.3f}  {text}\n")
        sys.stdout.flush()
