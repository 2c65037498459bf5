"""Prints the published schema of the operators' RPC interface."""

from __future__ import annotations

import sys
from importlib import resources
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse


class SchemaCommand:
    """``hoisthook schema``."""

    name = "schema"
    description = "print the schema of the operators' RPC interface"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        sys.stdout.write(resources.files("hoisthook.rpc").joinpath("operator.proto").read_text())
        return 0
