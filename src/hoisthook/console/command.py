"""What a command is."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    import argparse


class Command(Protocol):
    """One subcommand."""

    @property
    def name(self) -> str:
        """Return the word on the command line."""

    @property
    def description(self) -> str:
        """Return one line of help."""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run it and return the exit status."""
