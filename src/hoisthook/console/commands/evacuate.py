"""Evacuates a data centre: its backend servers get no new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.console.evacuation_call import add_evacuation_arguments
from hoisthook.console.evacuation_call import set_evacuation

if TYPE_CHECKING:
    import argparse


class EvacuateCommand:
    """``hoisthook evacuate``."""

    name = "evacuate"
    description = "evacuate a data centre: send its backend servers no new requests"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        add_evacuation_arguments(parser)

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        return set_evacuation(arguments, evacuated=True)
