"""Ends the evacuation of a data centre: its backend servers get requests again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.evacuation_call import add_evacuation_arguments
from hoisthook.console.evacuation_call import set_evacuation

if TYPE_CHECKING:
    import argparse


class RestoreCommand:
    """``hoisthook restore``."""

    name = "restore"
    description = "end the evacuation of a data centre: send its backend servers requests again"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_evacuation_arguments(parser)

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        return set_evacuation(arguments, evacuated=False)
