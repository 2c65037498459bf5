"""Validates a settings file without starting a node."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from hoisthook.settings.settings_file import load_mesh_settings
from hoisthook.settings.settings_file import load_settings

if TYPE_CHECKING:
    import argparse


class CheckCommand:
    """``hoisthook check FILE``."""

    name = "check"
    description = "validate a settings file"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("file", type=Path, help="settings file in TOML")
        parser.add_argument(
            "--platform", action="store_true", help="validate as settings of a node on the platform"
        )

    def handle(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit status."""
        if arguments.platform:
            node = load_mesh_settings(arguments.file).node.id
        else:
            node = load_settings(arguments.file).node.id
        sys.stdout.write(f"{arguments.file}: settings of node {node} are valid\n")
        return 0
