"""Mutation check: removes each mechanism in a copy of the tree and runs the tests that should fail.

Usage: python tool/prove.py [--mesh] [NAME ...]

Reads ``tool/mutations.toml`` (files below ``src/hoisthook``) or, with ``--mesh``,
``tool/mesh_mutations.toml`` (files below the root). For each entry the text ``old`` is
replaced by ``new`` in ``file``, and ``tests`` are run. The mechanism is covered by a test if
at least one of them fails. The working tree is not changed.
"""

from __future__ import annotations

import concurrent.futures
import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
WORKERS = 3
TIMEOUT_SECONDS = 240
COPIED_PATHS = (
    "src",
    "platform",
    "tests",
    "standin",
    "tool",
    "benchmark",
    "deploy",
    "pyproject.toml",
    "poetry.lock",
    "docs",
    "README.md",
)
PACKAGE_PATH = "src/hoisthook"
MESH_OPTION = "--mesh"


@dataclass(frozen=True, slots=True)
class Mutation:
    """One mechanism and the source change that removes it.

    Attributes
    ----------
    name, promise : str
        The mechanism, and the guarantee that depends on it.
    file : str
        Path of the source file, from the root of the repository.
    old, new : str
        Text that occurs once in the file, and its replacement.
    tests : str
        Arguments for pytest, separated by spaces; one of these tests should fail.
    """

    name: str
    promise: str
    file: str
    old: str
    new: str
    tests: str


def check_mutation(mutation: Mutation) -> str:
    """Return the table row of a mutation: the first test that fails without the mechanism."""
    with tempfile.TemporaryDirectory(prefix="hoisthook-prove-") as folder:
        copy = Path(folder)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                ignored = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, copy / name, ignore=ignored)
            elif source.exists():
                shutil.copy(source, copy / name)
        path = copy / mutation.file
        text = path.read_text()
        if text.count(mutation.old) != 1:
            return f"| {mutation.name} | {mutation.promise} | text found {text.count(mutation.old)}"
        path.write_text(text.replace(mutation.old, mutation.new))
        return _row(mutation, _run_tests(copy, mutation.tests))


def _run_tests(folder: Path, tests: str) -> str:
    command = [sys.executable, "-m", "pytest", "-n0", "-x", "--no-header", *tests.split()]
    # The sources of the copy must take precedence over the installed package.
    environment = os.environ | {
        "PYTHONPATH": os.pathsep.join(str(folder / name) for name in ("src", "platform", ""))
    }
    try:
        completed = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return "timed out"
    failed = re.findall(r"^(?:FAILED|ERROR) \S*::(\S+)", completed.stdout, re.MULTILINE)
    return failed[0] if failed else f"NOTHING FAILED (status {completed.returncode})"


def _row(mutation: Mutation, failed: str) -> str:
    return f"| {mutation.name} | {mutation.promise} | `{mutation.file}` | `{failed}` |"


def _mutations() -> list[Mutation]:
    document = tomllib.loads((ROOT / "tool" / "mutations.toml").read_text())
    entries = document["mutation"]
    return [Mutation(**{**entry, "file": f"{PACKAGE_PATH}/{entry['file']}"}) for entry in entries]


def _mesh_mutations() -> list[Mutation]:
    document = tomllib.loads((ROOT / "tool" / "mesh_mutations.toml").read_text())
    return [Mutation(**entry) for entry in document["mutation"]]


def main() -> None:
    """Check all mutations, or those named on the command line, and print the table."""
    names = [argument for argument in sys.argv[1:] if argument != MESH_OPTION]
    mutations = _mesh_mutations() if MESH_OPTION in sys.argv[1:] else _mutations()
    if names:
        mutations = [mutation for mutation in mutations if mutation.name in names]
    sys.stdout.write("| mechanism taken out | promise | file | first test that fails |\n")
    sys.stdout.write("|---|---|---|---|\n")
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for row in pool.map(check_mutation, mutations):
            sys.stdout.write(row + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
