"""Drains a backend server: it gets no new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.drain_call import add_drain_arguments
from hoisthook.console.drain_call import set_drain

if TYPE_CHECKING:
    import argparse


class DrainCommand:
    """``hoisthook drain``."""

    name = "drain"
    description = "drain a backend server: send it no new requests"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_drain_arguments(parser)

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        return set_drain(arguments, drained=True)
