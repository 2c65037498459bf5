"""Entry point of the single-file program, a zip archive that Python executes directly.

Pure Python modules are imported from the archive. Extension modules cannot be: each is written to a
temporary folder, loaded, and deleted again.
"""

from __future__ import annotations

import sys
import tempfile
import zipfile
from importlib.machinery import EXTENSION_SUFFIXES
from importlib.machinery import ExtensionFileLoader
from importlib.machinery import ModuleSpec
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType


class ArchiveExtensionLoader(ExtensionFileLoader):
    """Loads an extension module from bytes, through a file that is deleted after the load."""

    def __init__(self, name: str, data: bytes, suffix: str) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="hoisthook-")
        path = Path(self._folder.name) / (name.rpartition(".")[2] + suffix)
        path.write_bytes(data)
        super().__init__(name, str(path))

    def exec_module(self, module: ModuleType) -> None:
        """Execute the module and delete its file."""
        super().exec_module(module)
        self._folder.cleanup()


class ArchiveExtensionFinder:
    """Import finder for the extension modules in a zip archive."""

    def __init__(self, archive: str) -> None:
        self._zip = zipfile.ZipFile(archive)
        self._names = set(self._zip.namelist())

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of an extension module in the archive, or None."""
        for suffix in EXTENSION_SUFFIXES:
            member = name.replace(".", "/") + suffix
            if member in self._names:
                loader = ArchiveExtensionLoader(name, self._zip.read(member), suffix)
                return ModuleSpec(name, loader, origin=loader.path)
        return None


sys.dont_write_bytecode = True
sys.meta_path.insert(0, ArchiveExtensionFinder(sys.path[0]))  # type: ignore[arg-type]

from hoisthook.__main__ import main  # noqa: E402

main()
