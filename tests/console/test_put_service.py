from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hoisthook.console.application import run

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    ("content", "number"),
    [
        (b"name = " + b"[" * 100_000, "5002"),
        (b"name = ", "5002"),
        (b"name = 1", "5003"),
        (b'name = "a"\ntimeout_ms = 0', "5004"),
    ],
    ids=["nested", "syntax", "type", "value"],
)
def test_bad_file_is_a_numbered_error(
    content: bytes, number: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "service.toml"
    path.write_bytes(content)
    arguments = ["put-service", "--node", "127.0.0.1:1", "--base-revision", "0", str(path)]
    assert run(arguments) == 2
    assert capsys.readouterr().err.split()[0] == number
