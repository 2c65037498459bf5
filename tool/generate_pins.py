"""Writes the pinned requirements of the platform's build out of the committed lock."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOCK = ROOT / "poetry.lock"
PINS = ROOT / "deploy" / "requirements.txt"
# What the path of routed requests imports; the rest of the product's libraries stay away.
NEEDED = ("httptools", "logbook", "msgspec", "prometheus-client")
HEADER = "# Written by tool/generate_pins.py out of poetry.lock.\n"


def pins() -> str:
    """Return the requirements file, one pinned library a line."""
    packages = {
        package["name"].lower(): package for package in tomllib.loads(LOCK.read_text())["package"]
    }
    wanted = list(NEEDED)
    lines = []
    for name in wanted:
        package = packages[name]
        wanted.extend(
            other.lower()
            for other in package.get("dependencies", {})
            if other.lower() not in wanted
        )
        lines.append(f"{name}=={package['version']}\n")
    return HEADER + "".join(sorted(lines))


def main() -> int:
    """Write the file, or with ``--check`` tell whether it is as it would be written."""
    if "--check" in sys.argv[1:]:
        return 0 if PINS.read_text() == pins() else 1
    PINS.write_text(pins())
    return 0


if __name__ == "__main__":
    sys.exit(main())
