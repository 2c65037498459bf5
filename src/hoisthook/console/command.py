"""Interface of the subcommands."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    import argparse


class Command(Protocol):
    """A subcommand of ``hoisthook``."""

    @property
    def name(self) -> str:
        """Return the name of the subcommand on the command line."""

    @property
    def description(self) -> str:
        """Return the one-line help text."""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
