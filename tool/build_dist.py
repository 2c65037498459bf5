"""Builds the single-file program from the distributions installed in this environment.

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
DISTRIBUTION_NAME = re.compile(r"[A-Za-z0-9._-]+")


def runtime_dependencies(name: str = "hoisthook") -> list[metadata.Distribution]:
    """Return the run-time dependencies of ``name``, direct and transitive, without itself."""
    found: dict[str, metadata.Distribution] = {}
    pending = [name]
    while pending:
        current = pending.pop()
        for requirement in metadata.distribution(current).requires or []:
            dependency, _, marker = requirement.partition(";")
            match = DISTRIBUTION_NAME.match(dependency)
            if match is None or "extra" in marker or match.group() in found:
                continue
            try:
                found[match.group()] = metadata.distribution(match.group())
            except metadata.PackageNotFoundError:
                # Its environment marker selects other systems or Python versions.
                continue
            pending.append(match.group())
    return [found[key] for key in sorted(found)]


def build(target: Path) -> None:
    """Write the program to ``target``, as an executable zip archive."""
    with tempfile.TemporaryDirectory(prefix="hoisthook-dist-") as folder:
        staging = Path(folder)
        for distribution in runtime_dependencies():
            for file in distribution.files or []:
                if ".." in file.parts or "__pycache__" in file.parts:
                    continue
                _copy(Path(str(distribution.locate_file(file))), staging / file)
        for file in (ROOT / "src").rglob("*"):
            if file.is_file() and "__pycache__" not in file.parts:
                _copy(file, staging / file.relative_to(ROOT / "src"))
        _copy(ROOT / "tool" / "dist_main.py", staging / "__main__.py")
        target.parent.mkdir(parents=True, exist_ok=True)
        zipapp.create_archive(staging, target, interpreter="/usr/bin/env python3", compressed=True)


def _copy(source: Path, target: Path) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(source.read_bytes())


if __name__ == "__main__":
    build(Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "dist" / "hoisthook")
