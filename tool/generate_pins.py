"""Writes the pinned requirements of the platform's build from the committed lock file."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOCK = ROOT / "poetry.lock"
PINS = ROOT / "deploy" / "requirements.txt"
# Imported on the path of routed requests. Other dependencies in the lock file are not installed.
ROOT_PACKAGES = ("httptools", "logbook", "msgspec", "prometheus-client")
HEADER = "# Written by tool/generate_pins.py out of poetry.lock.\n"


def pins() -> str:
    """Return the text of the requirements file, one pinned package per line."""
    packages = {
        package["name"].lower(): package for package in tomllib.loads(LOCK.read_text())["package"]
    }
    wanted = list(ROOT_PACKAGES)
    lines = []
    for name in wanted:
        package = packages[name]
        wanted.extend(
            dependency.lower()
            for dependency in package.get("dependencies", {})
            if dependency.lower() not in wanted
        )
        lines.append(f"{name}=={package['version']}\n")
    return HEADER + "".join(sorted(lines))


def main() -> int:
    """Write the file, or with ``--check`` return 1 if it is out of date."""
    if "--check" in sys.argv[1:]:
        return 0 if PINS.read_text() == pins() else 1
    PINS.write_text(pins())
    return 0


if __name__ == "__main__":
    sys.exit(main())
