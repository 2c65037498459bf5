"""Lets a backend server take no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.drain_call import add_drain_arguments
from hoisthook.console.drain_call import set_drain

if TYPE_CHECKING:
    import argparse


class DrainCommand:
    """``hoisthook drain``."""

    name = "drain"
    description = "let a backend server take no new work"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_drain_arguments(parser)

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run it and return the exit status."""
        return set_drain(arguments, drained=True)
