"""Generates the RPC code of the operator service from its schema into a folder.

Usage: python tool/generate_rpc.py [FOLDER]; the default is the package ``hoisthook.rpc``.
"""

from __future__ import annotations

import sys
from pathlib import Path

import grpc_tools
from grpc_tools import protoc

PACKAGE = Path("src/hoisthook/rpc")


def generate(folder: Path) -> int:
    """Write ``operator_pb2.py``, ``operator_pb2.pyi`` and ``operator_grpc.py``."""
    include = Path(grpc_tools.__file__).parent / "_proto"
    plugin = Path(sys.executable).parent / "protoc-gen-grpclib_python"
    status = protoc.main(
        [
            "protoc",
            f"-I{PACKAGE}",
            f"-I{include}",
            f"--plugin=protoc-gen-grpclib_python={plugin}",
            f"--python_out={folder}",
            f"--pyi_out={folder}",
            f"--grpclib_python_out={folder}",
            str(PACKAGE / "operator.proto"),
        ]
    )
    stub = folder / "operator_grpc.py"
    text = stub.read_text()
    stub.write_text(text.replace("import operator_pb2", "from hoisthook.rpc import operator_pb2"))
    return int(status)


if __name__ == "__main__":
    sys.exit(generate(Path(sys.argv[1]) if len(sys.argv) > 1 else PACKAGE))
