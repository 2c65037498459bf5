"""Builds the one-file program from what the lock installed.

Usage: python tool/build_dist.py [FILE]; the default is ``dist/hoisthook``.
"""

from __future__ import annotations

import re
import sys
import tempfile
import zipapp
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).parent.parent
NAME = re.compile(r"[A-Za-z0-9._-]+")


def needed_distributions(name: str = "hoisthook") -> list[metadata.Distribution]:
    """Return the distributions that ``name`` needs at run time, itself left out."""
    found: dict[str, metadata.Distribution] = {}
    waiting = [name]
    while waiting:
        current = waiting.pop()
        for requirement in metadata.distribution(current).requires or []:
            needed, _, marker = requirement.partition(";")
            match = NAME.match(needed)
            if match is None or "extra" in marker or match.group() in found:
                continue
            try:
                found[match.group()] = metadata.distribution(match.group())
            except metadata.PackageNotFoundError:
                # A marker for other systems or versions.
                continue
            waiting.append(match.group())
    return [found[key] for key in sorted(found)]


def build(target: Path) -> None:
    """Write the program to ``target``."""
    with tempfile.TemporaryDirectory(prefix="hoisthook-dist-") as folder:
        stage = Path(folder)
        for distribution in needed_distributions():
            for file in distribution.files or []:
                if ".." in file.parts or "__pycache__" in file.parts:
                    continue
                _copy(Path(str(distribution.locate_file(file))), stage / file)
        for file in (ROOT / "src").rglob("*"):
            if file.is_file() and "__pycache__" not in file.parts:
                _copy(file, stage / file.relative_to(ROOT / "src"))
        _copy(ROOT / "tool" / "dist_main.py", stage / "__main__.py")
        target.parent.mkdir(parents=True, exist_ok=True)
        zipapp.create_archive(stage, target, interpreter="/usr/bin/env python3", compressed=True)


def _copy(source: Path, target: Path) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(source.read_bytes())


if __name__ == "__main__":
    build(Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "dist" / "hoisthook")
